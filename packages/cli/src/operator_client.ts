import {EXIT_CODE, IDLE_TIMEOUT_MS} from './constants.js';
import {CliError} from './errors.js';
import type {OperatorResponse} from './types.js';
import http from 'node:http';
import https from 'node:https';
import {readFileSync} from 'node:fs';

/** URL and credentials of a daemon's operator port. */
export interface OperatorTarget {
  readonly url: string;
  readonly token: string | null;
  /** PEM file with the CA of the daemon's certificate. */
  readonly caFile: string | null;
}

function sendRequest(
  target: OperatorTarget,
  method: string,
  path: string,
  requestBody: string | undefined,
): Promise<{status: number; text: string}> {
  return new Promise((resolve, reject) => {
    const url = new URL(path, target.url);
    const headers: http.OutgoingHttpHeaders = {
      ...(requestBody === undefined
        ? {}
        : {'content-type': 'application/json'}),
      ...(target.token ? {authorization: `Bearer ${target.token}`} : {}),
    };
    const ca = target.caFile ? readFileSync(target.caFile) : undefined;
    const options = {method, headers, timeout: IDLE_TIMEOUT_MS};
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
        const responseBody = Buffer.concat(chunks).toString();
        resolve({status: res.statusCode ?? 0, text: responseBody});
      });
    });
    req.end(requestBody);
  });
}

/**
 * Calls the operator port. Throws a CliError if the call fails or the response
 * is not JSON.
 */
export async function callOperator(
  target: OperatorTarget,
  method: string,
  path: string,
  body?: unknown,
): Promise<OperatorResponse> {
  try {
    const requestBody = body === undefined ? undefined : JSON.stringify(body);
    const response = await sendRequest(target, method, path, requestBody);
    const parsed = JSON.parse(response.text) as OperatorResponse['body'];
    return {status: response.status, body: parsed};
  } catch (e) {
    const reason = e instanceof Error ? e.message : String(e);
    throw new CliError(
      EXIT_CODE.UNREACHABLE,
      `no response from ${target.url} (${reason}); is the daemon or gateway ` +
        'running, and is --url its operator or metrics port?',
    );
  }
}

const FAILURE_BY_STATUS: Readonly<
  Record<number, {code: CliError['exitCode']; hint: string}>
> = {
  401: {
    code: EXIT_CODE.UNAUTHORIZED,
    hint: 'pass --token or set FESCUESPOOL_TOKEN',
  },
  404: {code: EXIT_CODE.NOT_FOUND, hint: 'check the identifier'},
  409: {
    code: EXIT_CODE.CONFLICT,
    hint: 'read the current version with "config get" and send the patch again',
  },
  422: {code: EXIT_CODE.INVALID, hint: 'correct the places listed above'},
  503: {code: EXIT_CODE.UNREACHABLE, hint: 'nothing was changed; try again'},
  504: {
    code: EXIT_CODE.UNCLEAR,
    hint: 'send the same patch again with the same --patch-id',
  },
};

/** Returns a successful response; throws a CliError for any other. */
export function expectSuccess(response: OperatorResponse): OperatorResponse {
  if (response.status < 300) return response;
  const {error, findings} = response.body;
  const messageLines = [String(error ?? `status ${response.status}`)];
  for (const finding of (findings ?? []) as Array<{
    place: string;
    message: string;
  }>) {
    messageLines.push(`  ${finding.place || '(root)'}: ${finding.message}`);
  }
  const failure = FAILURE_BY_STATUS[response.status];
  if (failure) messageLines.push(`hint: ${failure.hint}`);
  throw new CliError(
    failure?.code ?? EXIT_CODE.UNREACHABLE,
    messageLines.join('\n'),
  );
}
