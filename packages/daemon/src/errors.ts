/** A failure that keeps the daemon from starting. */
export class StartError extends Error {
  constructor(message: string) {
    super(message);
    this.name = 'StartError';
  }
}
