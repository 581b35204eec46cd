import {RESPONSE_TIMEOUT_MS, EXIT_CODE} from './constants.js';
import {CliError} from './errors.js';
import type {OperatorResponse} from './types.js';
import http from 'node:http';
import https from 'node:https';
import {readFileSync} from 'node:fs';

/** Where the operator port is and how it is spoken to. */
export interface OperatorTarget {
  readonly url: string;
  readonly token: string | null;
  /** File with the authority of the daemon's certificate. */
  readonly caFile: string | null;
}

function exchange(
  target: OperatorTarget,
  method: string,
  path: string,
  text: string | undefined,
): Promise<{status: number; text: string}> {
  return new Promise((resolve, reject) => {
    const url = new URL(path, target.url);
    const headers: http.OutgoingHttpHeaders = {
      ...(text === undefined ? {} : {'content-type': 'application/json'}),
      ...(target.token ? {authorization: `Bearer ${target.token}`} : {}),
    };
    const ca = target.caFile ? readFileSync(target.caFile) : undefined;
    const options = {method, headers, timeout: RESPONSE_TIMEOUT_MS};
    const req =
      url.protocol === 'https:'
        ? https.request(url, {...options, ca})
        : http.request(url, options);
    req.on('timeout', () => req.destroy(new Error('timed out')));
    req.on('error', reject);
    req.on('response', res => {
      const chunks: Buffer[] = [];
      res.on('data', chunk => chunks.push(chunk as Buffer));
      res.on('error', reject);
      res.on('end', () => {
        const answer = Buffer.concat(chunks).toString();
        resolve({status: res.statusCode ?? 0, text: answer});
      });
    });
    req.end(text);
  });
}

/** Calls the operator port; throws a CliError where it can't be reached. */
export async function callOperator(
  target: OperatorTarget,
  method: string,
  path: string,
  body?: unknown,
): Promise<OperatorResponse> {
  try {
    const text = body === undefined ? undefined : JSON.stringify(body);
    const answer = await exchange(target, method, path, text);
    const parsed = JSON.parse(answer.text) as OperatorResponse['body'];
    return {status: answer.status, body: parsed};
  } catch (e) {
    const reason = e instanceof Error ? e.message : String(e);
    throw new CliError(
      EXIT_CODE.UNREACHABLE,
      `no answer from ${target.url} (${reason}); is the daemon running, and ` +
        'is --url its operator port?',
    );
  }
}

const HINT_BY_STATUS: Readonly<
  Record<number, {code: CliError['exitCode']; hint: string}>
> = {
  401: {
    code: EXIT_CODE.UNAUTHORIZED,
    hint: 'pass --token or set FESCUESPOOL_TOKEN',
  },
  404: {code: EXIT_CODE.NOT_FOUND, hint: 'look at the identifier again'},
  409: {
    code: EXIT_CODE.CONFLICT,
    hint: 'read the present version with "config get" and send the patch again',
  },
  422: {code: EXIT_CODE.INVALID, hint: 'mend the places named above'},
  503: {code: EXIT_CODE.UNREACHABLE, hint: 'nothing was changed; try again'},
  504: {
    code: EXIT_CODE.UNCLEAR,
    hint: 'send the same patch again with the same --patch-id',
  },
};

/** Turns an answer that is not a success into a CliError. */
export function expectSuccess(answer: OperatorResponse): OperatorResponse {
  if (answer.status < 300) return answer;
  const {error, findings} = answer.body;
  const lines = [String(error ?? `status ${answer.status}`)];
  for (const finding of (findings ?? []) as Array<{
    place: string;
    message: string;
  }>) {
    lines.push(`  ${finding.place || '(root)'}: ${finding.message}`);
  }
  const known = HINT_BY_STATUS[answer.status];
  if (known) lines.push(`hint: ${known.hint}`);
  throw new CliError(known?.code ?? EXIT_CODE.UNREACHABLE, lines.join('\n'));
}
