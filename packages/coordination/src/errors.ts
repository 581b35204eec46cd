/** A call to a peer that had no answer. */
export class PeerError extends Error {
  constructor(
    readonly peerId: string,
    message: string,
  ) {
    super(`peer ${peerId}: ${message}`);
    this.name = 'PeerError';
  }
}
