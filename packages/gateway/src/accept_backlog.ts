import type {Clock} from '@fescuespool/common';
import {whenInputRead} from '@fescuespool/common';
import type {Server} from 'node:net';

/** Time in milliseconds for which connections that wait to be accepted are. */
export const MAX_ACCEPT_MS = 1_500;

/**
 * Resolves once a server has accepted the connections that waited for it, which its
 * close would reset, or after MAX_ACCEPT_MS. Node.js accepts one in each turn of
 * its loop.
 */
export async function whenBacklogAccepted(
  server: Server,
  clock: Clock,
): Promise<void> {
  const endsAtMs = clock.monotonicMs() + MAX_ACCEPT_MS;
  let hasAccepted: boolean;
  const noteAccepted = (): void => void (hasAccepted = true);
  server.on('connection', noteAccepted);
  do {
    hasAccepted = false;
    await whenInputRead();
  } while (hasAccepted && clock.monotonicMs() < endsAtMs);
  server.off('connection', noteAccepted);
}
