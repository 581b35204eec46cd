import type {UpstreamLife} from '@fescuespool/scheduling';
import {upstreamLifeKey} from '@fescuespool/scheduling';
import type {Socket} from 'node:net';

/**
 * Remembers at which connections an upstream has been found in its registered
 * life. A connection does not outlive the process at its other end, so that what
 * was found holds for as long as it is open.
 */
export class ConfirmedConnections {
  private readonly lives = new WeakMap<Socket, string>();

  /** Records that a connection leads to this life of an upstream. */
  add(socket: Socket, life: UpstreamLife): void {
    this.lives.set(socket, upstreamLifeKey(life));
  }

  /** Whether a connection is known to lead to this life of an upstream. */
  has(socket: Socket, life: UpstreamLife): boolean {
    return this.lives.get(socket) === upstreamLifeKey(life);
  }
}
