import {
  checkAgainstSchema,
  equalInConstantTime,
  newId,
  parseJson,
  sha256Hex,
} from '@fescuespool/common';
import type {Member} from '@fescuespool/coordination';
import {PEER_METHOD} from '@fescuespool/protocol';
import type {ConfigStore, SubmitErrorKind} from '@fescuespool/state';
import {checkConfig, PATCH_FORMAT, SUBMIT_ERROR_KIND} from '@fescuespool/state';
import {callPeer, readBody, sendJson} from '@fescuespool/transport';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {z} from 'zod';
import type {CertificateWatcher} from './certificate_watcher.js';
import type {ConfigSync} from './config_sync.js';
import {
  MAX_OPERATOR_BODY_BYTES,
  OPERATOR_SCOPE,
  PEER_CALL_TIMEOUT_MS,
} from './constants.js';
import type {DispatcherRole} from './dispatcher_role.js';
import type {GrantClient} from './grant_client.js';
import {HttpListener} from './http_listener.js';
import type {OpenRequests} from './open_requests.js';
import {STATUS_PAGE} from './status_page.js';
import type {TraceLog} from './trace_log.js';
import type {DaemonContext, OperatorScope} from './types.js';

const PATCH_SCHEMA = z.strictObject({
  patchId: z.string().min(1).max(128).optional(),
  baseVersion: z.number().int().min(0),
  format: z.enum(PATCH_FORMAT).default(PATCH_FORMAT.MERGE),
  patch: z.unknown(),
  author: z.string().max(128).default('operator'),
});

const STATUS_BY_SUBMIT_ERROR: Readonly<Record<SubmitErrorKind, number>> = {
  [SUBMIT_ERROR_KIND.CONFLICT]: 409,
  [SUBMIT_ERROR_KIND.INVALID]: 422,
  [SUBMIT_ERROR_KIND.UNAVAILABLE]: 503,
  [SUBMIT_ERROR_KIND.UNCLEAR]: 504,
};

const RECORD_LIST_SCHEMA = z.array(z.record(z.string(), z.unknown()));

/** Parts of the daemon that the operator interface reads and controls. */
export interface OperatorOptions {
  readonly context: DaemonContext;
  readonly dispatcher: DispatcherRole;
  readonly configSync: ConfigSync;
  readonly openRequests: OpenRequests;
  readonly grantClient: GrantClient;
  readonly traces: TraceLog;
  readonly configStore: ConfigStore;
  readonly tls: CertificateWatcher | null;
  readonly isDraining: () => boolean;
  readonly drain: () => void;
}

interface HttpResponse {
  readonly status: number;
  readonly body: unknown;
}

type Route = (
  body: string,
  path: string,
) => Promise<HttpResponse> | HttpResponse;

function okResponse(body: unknown): HttpResponse {
  return {status: 200, body};
}

/** Serves the status page and the JSON operator interface over HTTP. */
export class OperatorServer {
  readonly listener: HttpListener;
  private readonly readRoutes: Readonly<Record<string, Route>>;
  private readonly writeRoutes: Readonly<Record<string, Route>>;

  constructor(private readonly options: OperatorOptions) {
    this.readRoutes = {
      '/config': () => this.getConfig(),
      '/config/history': () => this.getHistory(),
      '/nodes': () => okResponse(this.listNodes()),
      '/cells': async () => okResponse(await this.listCells()),
      '/stats': () => okResponse(this.getStats()),
      '/trace': (_body, path) => this.findTrace(path),
    };
    this.writeRoutes = {
      '/config/patch': body => this.submitPatch(body),
      '/config/validate': body => this.validateConfig(body),
      '/drain': () => this.startDrain(),
    };
    this.listener = new HttpListener(
      (req, res) => void this.handle(req, res),
      options.tls,
    );
  }

  private async handle(
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> {
    try {
      const path = (req.url ?? '/').split('?')[0] ?? '/';
      if (path === '/' && req.method === 'GET') {
        res.writeHead(200, {'content-type': 'text/html; charset=utf-8'});
        res.end(STATUS_PAGE);
        return;
      }
      const response = await this.route(req, path);
      sendJson(res, response.status, response.body);
    } catch (e) {
      const error = e instanceof Error ? e.message : String(e);
      sendJson(res, 400, {error});
    }
  }

  private async route(
    req: IncomingMessage,
    path: string,
  ): Promise<HttpResponse> {
    const isWrite = req.method === 'POST';
    const routes = isWrite ? this.writeRoutes : this.readRoutes;
    const key = path.startsWith('/trace/') ? '/trace' : path;
    const route = Object.hasOwn(routes, key) ? routes[key] : undefined;
    if (!route) return {status: 404, body: {error: `no resource at ${path}`}};
    const scope = isWrite ? OPERATOR_SCOPE.WRITE : OPERATOR_SCOPE.READ;
    if (!this.isAllowed(req, scope)) {
      return {status: 401, body: {error: `a ${scope} token is required`}};
    }
    const body = await readBody(req, MAX_OPERATOR_BODY_BYTES);
    return route(body.toString(), path);
  }

  /**
   * Checks the bearer token; a write token may read as well. Without configured
   * tokens everyone is allowed, as the settings permit this on loopback only
   * or with `allowInsecure`.
   */
  private isAllowed(req: IncomingMessage, scope: OperatorScope): boolean {
    const {tokens} = this.options.context.settings.operator;
    if (tokens.length === 0) return true;
    const header = req.headers.authorization ?? '';
    const hash = sha256Hex(header.replace(/^Bearer +/i, ''));
    const token = tokens.find(entry =>
      equalInConstantTime(entry.tokenHash, hash),
    );
    if (!token) return false;
    return token.scope === OPERATOR_SCOPE.WRITE || token.scope === scope;
  }

  private getConfig(): HttpResponse {
    const active = this.options.context.config.current;
    if (!active) return {status: 503, body: {error: 'no active configuration'}};
    return okResponse({version: active.entry.version, config: active.cfg});
  }

  private async getHistory(): Promise<HttpResponse> {
    const head = await this.options.configStore.readHead();
    if (head.isErr()) return {status: 503, body: {error: head.error.message}};
    const versions = head.value.head.recent.map(
      ({version, patchId, author, acceptedAtMs}) => ({
        version,
        patchId,
        author,
        acceptedAt: new Date(acceptedAtMs).toISOString(),
      }),
    );
    return okResponse({versions});
  }

  private async submitPatch(text: string): Promise<HttpResponse> {
    const {configStore, configSync, context} = this.options;
    const parsed = parseJson('patch', text).andThen(value =>
      checkAgainstSchema('patch', PATCH_SCHEMA, value),
    );
    if (parsed.isErr()) {
      const {findings} = parsed.error;
      return {status: 400, body: {error: 'invalid patch request', findings}};
    }
    const patchId = parsed.value.patchId ?? newId();
    const submitted = await configStore.submit({...parsed.value, patchId});
    if (submitted.isErr()) {
      const {kind, message, currentVersion, findings} = submitted.error;
      context.metrics.increment('config_patch', {end: kind});
      const status = STATUS_BY_SUBMIT_ERROR[kind];
      const error = message;
      return {status, body: {kind, error, patchId, currentVersion, findings}};
    }
    context.metrics.increment('config_patch', {end: 'accepted'});
    await configSync.refreshFromStore();
    return okResponse({version: submitted.value, patchId});
  }

  private validateConfig(text: string): HttpResponse {
    const checked = parseJson('configuration', text).andThen(checkConfig);
    if (checked.isOk()) return okResponse({valid: true, findings: []});
    const {findings} = checked.error;
    return {status: 422, body: {valid: false, findings}};
  }

  private startDrain(): HttpResponse {
    this.options.drain();
    return {status: 202, body: {draining: true}};
  }

  private listNodes(): object {
    const {context, configSync} = this.options;
    const {membership} = context;
    const describe = (member: Member): object => ({
      ...member,
      reachable: membership.isUsable(member.id),
    });
    return {
      self: membership.localMember.id,
      configVersion: context.config.version,
      relay: configSync.isRelay,
      nodes: [membership.localMember, ...membership.otherMembers].map(describe),
    };
  }

  /** Lists the cells of all reachable daemons. */
  private async listCells(): Promise<object> {
    const {dispatcher, context} = this.options;
    const {membership, network, settings} = context;
    const localCells = dispatcher
      .cellStatuses()
      .map(cell => ({...cell, dispatcher: settings.memberId}));
    const remoteCells = membership.eligibleIds().map(async id => {
      const member = membership.find(id);
      if (!member || id === settings.memberId) return [];
      const answer = await callPeer(
        network,
        member,
        PEER_METHOD.STATUS_CELLS,
        {},
        RECORD_LIST_SCHEMA,
        PEER_CALL_TIMEOUT_MS,
      );
      return answer.unwrapOr([]).map(cell => ({...cell, dispatcher: id}));
    });
    return {cells: [...localCells, ...(await Promise.all(remoteCells)).flat()]};
  }

  private getStats(): object {
    const {context, openRequests, grantClient} = this.options;
    const {rss} = process.memoryUsage();
    const {userCPUTime, systemCPUTime} = process.resourceUsage();
    return {
      memberId: context.settings.memberId,
      leaving: this.options.isDraining(),
      openRequests: openRequests.size,
      running: grantClient.runningCount,
      counters: context.metrics.counters(),
      rssBytes: rss,
      cpuMicros: userCPUTime + systemCPUTime,
      peerBytes: context.network.byteCounts,
    };
  }

  private async findTrace(path: string): Promise<HttpResponse> {
    const {traces, context} = this.options;
    const requestId = decodeURIComponent(path.slice('/trace/'.length));
    const localEvents = traces.find(requestId);
    if (localEvents.length > 0)
      return okResponse({requestId, events: localEvents});
    const {membership, network, settings} = context;
    for (const id of membership.eligibleIds()) {
      const member = membership.find(id);
      if (!member || id === settings.memberId) continue;
      const answer = await callPeer(
        network,
        member,
        PEER_METHOD.TRACE,
        {requestId, service: ''},
        RECORD_LIST_SCHEMA,
        PEER_CALL_TIMEOUT_MS,
      );
      const events = answer.unwrapOr([]);
      if (events.length > 0) return okResponse({requestId, entry: id, events});
    }
    return {
      status: 404,
      body: {error: `no reachable daemon has a trace of request ${requestId}`},
    };
  }
}
