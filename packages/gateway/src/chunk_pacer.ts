import type {Socket} from 'node:net';

/** Chunks after which the mean size of those is looked at. */
export const CHUNKS_PER_CHECK = 1_024;

/**
 * Mean size in bytes of chunks below which their connection is paused: each costs
 * processor time, however small it is, for which all other requests wait.
 */
export const MIN_MEAN_CHUNK_BYTES = 64;

/** Milliseconds between two reads of paused connections, over all of them. */
export const PACED_READ_INTERVAL_MS = 25;

/** Reads connections that send very small chunks one after the other. */
export class ChunkPacer {
  private readonly paused = new Set<Socket>();
  private timer: NodeJS.Timeout | null = null;

  /** Returns a function to be called with each chunk of a connection. */
  follow(socket: Socket): (chunk: Buffer) => void {
    let count = 0;
    let size = 0;
    return chunk => {
      count++;
      size += chunk.length;
      if (count < CHUNKS_PER_CHECK) return;
      if (size < CHUNKS_PER_CHECK * MIN_MEAN_CHUNK_BYTES) this.pause(socket);
      count = 0;
      size = 0;
    };
  }

  private pause(socket: Socket): void {
    if (this.paused.has(socket)) return;
    this.paused.add(socket);
    // Node.js may resume the socket until the end of the present read.
    process.nextTick(() => {
      if (this.paused.has(socket)) socket.pause();
    });
    this.timer ??= setInterval(() => this.resumeNext(), PACED_READ_INTERVAL_MS);
  }

  private resumeNext(): void {
    const [socket] = this.paused;
    if (!socket) {
      if (this.timer) clearInterval(this.timer);
      this.timer = null;
      return;
    }
    this.paused.delete(socket);
    socket.resume();
  }
}
