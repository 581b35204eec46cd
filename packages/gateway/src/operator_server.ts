import type {IncomingMessage, RequestListener, Server} from 'node:http';
import type {PeerNetwork} from '@fescuespool/transport';
import {BodyTooLargeError, readBody} from '@fescuespool/transport';
import type {Dispatcher} from './dispatcher.js';
import type {GatewayContext} from './gateway_context.js';
import {updateGauges} from './gateway_gauges.js';
import type {ServerGuard} from './guarded_server.js';
import {
  PREVIEW_QUESTION_SCHEMA,
  PreviewError,
  RequestPreviewer,
} from './request_preview.js';
import {createMetricsServer} from './status_servers.js';

/** Path at which operators ask where a request would go. */
const PREVIEW_PATH = '/where';

/** Longest question in bytes; one with all prompt parts is far shorter. */
const MAX_QUESTION_BYTES = 32_768;

const OK = 200;
const BAD_REQUEST = 400;
const METHOD_NOT_ALLOWED = 405;
const TOO_LARGE = 413;
const INTERNAL_ERROR = 500;

/** Creates the server of metrics, and of questions where a request would go. */
export function createOperatorServer(
  gateway: GatewayContext,
  dispatcher: Dispatcher,
  network: PeerNetwork,
  guard: ServerGuard,
): Server {
  const previewer = new RequestPreviewer(gateway, dispatcher, network);
  return createMetricsServer(
    gateway.metrics,
    () => updateGauges(gateway, dispatcher),
    guard,
    {[PREVIEW_PATH]: previewListener(gateway, previewer)},
  );
}

/** Answers questions in JSON; an answer other than 200 has `error`. */
function previewListener(
  {log}: GatewayContext,
  previewer: RequestPreviewer,
): RequestListener {
  return (req, res) => {
    const answer = (status: number, body: unknown): void => {
      res.writeHead(status, {'content-type': 'application/json'});
      res.end(`${JSON.stringify(body)}\n`);
    };
    const fail = (e: unknown): void => {
      const error = e instanceof Error ? e.message : String(e);
      const status = e instanceof PreviewError ? e.status : INTERNAL_ERROR;
      if (status === INTERNAL_ERROR) log.error('preview_failed', {err: error});
      answer(status, {error});
    };
    readQuestion(req)
      .then(question => previewer.preview(question))
      .then(preview => answer(OK, preview))
      .catch(fail);
  };
}

async function readQuestion(
  req: IncomingMessage,
): Promise<ReturnType<typeof PREVIEW_QUESTION_SCHEMA.parse>> {
  if (req.method !== 'POST') {
    throw new PreviewError(METHOD_NOT_ALLOWED, 'the method must be POST');
  }
  const body = await readBody(req, MAX_QUESTION_BYTES).catch((e: unknown) => {
    if (!(e instanceof BodyTooLargeError)) throw e;
    throw new PreviewError(TOO_LARGE, 'the question is too long');
  });
  const parsed = PREVIEW_QUESTION_SCHEMA.safeParse(parseJson(body.toString()));
  if (parsed.success) return parsed.data;
  // Only names of fields, as their values may hold a key.
  const fields = parsed.error.issues.map(
    ({path}) => path.join('.') || '(root)',
  );
  throw new PreviewError(BAD_REQUEST, `wrong fields: ${fields.join(', ')}`);
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    throw new PreviewError(BAD_REQUEST, 'the question is not JSON');
  }
}
