/** Settings of a stand-in that can't be used. */
export class StandInError extends Error {
  constructor(message: string) {
    super(message);
    this.name = 'StandInError';
  }
}
