import type {FindingsError} from '@fescuespool/common';
import {checkAgainstSchema, listOf, parseJson} from '@fescuespool/common';
import type {Result} from 'neverthrow';
import {z} from 'zod';
import {MAX_STREAM_ID_LENGTH} from './stream_constants.js';
import type {StreamOrigin} from './stream_origin.js';

const ID = z.string().max(MAX_STREAM_ID_LENGTH);

const SNAPSHOT = z.object({
  streams: listOf(
    z.object({
      service: z.string(),
      softwareVersion: z.string(),
      /** Request ids, each with the number of the send that began the stream. */
      begunBy: listOf(z.tuple([ID, z.number().int().min(0)])),
    }),
  ),
});

/** Encodes the origins of streams, by request id, as JSON. */
export function encodeSnapshot(
  origins: Iterable<readonly [string, StreamOrigin]>,
): Buffer {
  const groups = new Map<string, z.infer<typeof SNAPSHOT>['streams'][number]>();
  for (const [requestId, {service, softwareVersion, send}] of origins) {
    const key = JSON.stringify([service, softwareVersion]);
    const group = groups.get(key) ?? {service, softwareVersion, begunBy: []};
    group.begunBy.push([requestId, send]);
    groups.set(key, group);
  }
  return Buffer.from(JSON.stringify({streams: [...groups.values()]}));
}

/** Decodes the origins of streams; the error names the first finding of a list. */
export function decodeSnapshot(
  name: string,
  value: Buffer,
): Result<[string, StreamOrigin][], FindingsError> {
  return parseJson(name, value.toString())
    .andThen(json => checkAgainstSchema(name, SNAPSHOT, json))
    .map(({streams}) =>
      streams.flatMap(({service, softwareVersion, begunBy}) =>
        begunBy.map(([requestId, send]): [string, StreamOrigin] => [
          requestId,
          {service, softwareVersion, send},
        ]),
      ),
    );
}
