/** Thrown when a stand-in can't be started with the given arguments. */
export class StandInError extends Error {
  constructor(message: string) {
    super(message);
    this.name = 'StandInError';
  }
}
