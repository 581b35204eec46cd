import type {QueuePreview} from '@fescuespool/scheduling';
import type {PeerNetwork} from '@fescuespool/transport';
import {callPeer} from '@fescuespool/transport';
import {z} from 'zod';
import type {Admission} from './admission.js';
import {admit, tierOf} from './admission.js';
import {CONFIG_AGE_MARGIN_MS, GATEWAY_METHOD} from './constants.js';
import type {Dispatcher} from './dispatcher.js';
import {GatewayRefusalError} from './errors.js';
import type {GatewayContext} from './gateway_context.js';
import {createGrantRequest, versionToBegin} from './grant_request.js';
import {PROMPT_PARTS, QUEUE_PREVIEW_SCHEMA} from './messages.js';
import {callerPatienceMs} from './open_request.js';
import {quotaPriorityOf} from './quota_charge.js';
import type {RequestHead} from './types.js';

/** Timeout in milliseconds of the question to a queue's owner. */
const PREVIEW_CALL_TIMEOUT_MS = 2_000;

const NOT_FOUND = 404;

/** Stands for the request; no queue keeps it. */
const PREVIEW_ID = 'preview';

const COUNT = z.int().min(0);

/** A request as an operator describes it. */
export const PREVIEW_QUESTION_SCHEMA = z.strictObject({
  host: z.string(),
  path: z.string().startsWith('/'),
  /** API key of the caller, or else the name of its client account. */
  key: z.string().nullable().default(null),
  account: z.string().nullable().default(null),
  promptTokens: COUNT.nullable().default(null),
  outputTokens: COUNT.default(0),
  promptParts: PROMPT_PARTS.default([]),
});

/** A request as an operator describes it. */
export type PreviewQuestion = z.infer<typeof PREVIEW_QUESTION_SCHEMA>;

/** What a request would meet at one of the services of its route. */
export interface ServicePreview {
  readonly service: string;
  /** Weight of the service among the targets of the route. */
  readonly weight: number;
  /** Gateway that owns the service's queue. */
  readonly owner: string;
  /** Null if the owner did not tell. */
  readonly queue: QueuePreview | null;
  /** Why the owner did not tell; null if it did. */
  readonly error: string | null;
}

/** Where a request would go now; times in milliseconds. */
export interface RequestPreview {
  readonly gateway: string;
  readonly configVersion: number;
  readonly route: string;
  readonly account: string | null;
  readonly tier: number;
  readonly objectiveMs: number;
  /** Time for which its caller is assumed to wait for the first byte. */
  readonly patienceMs: number;
  /** Time until the account's quota admits it; 0 if it does now. */
  readonly quotaWaitMs: number;
  readonly services: readonly ServicePreview[];
}

/** A question that has no answer, with the HTTP status that says so. */
export class PreviewError extends Error {
  constructor(
    readonly status: number,
    message: string,
  ) {
    super(message);
    this.name = 'PreviewError';
  }
}

/** Asks where a request would go now, without sending it. */
export class RequestPreviewer {
  constructor(
    private readonly gateway: GatewayContext,
    private readonly dispatcher: Dispatcher,
    private readonly network: PeerNetwork,
  ) {}

  /** Throws a PreviewError if the request would not be admitted. */
  async preview(question: PreviewQuestion): Promise<RequestPreview> {
    const {members} = this.gateway;
    const head = this.headOf(question);
    const admission = this.admit(question, head);
    const {route, account, configVersion} = admission;
    const services = route.targets.map(({service, weight}) =>
      this.previewService(service, weight, admission, head),
    );
    return {
      gateway: members.localMember.id,
      configVersion,
      route: route.name,
      account: account?.name ?? null,
      tier: tierOf(admission),
      objectiveMs: route.objectiveMs,
      patienceMs: callerPatienceMs(route),
      quotaWaitMs: this.quotaWaitMs(admission, head),
      services: await Promise.all(services),
    };
  }

  private headOf(question: PreviewQuestion): RequestHead {
    const {promptTokens, outputTokens, promptParts} = question;
    return {
      requestId: PREVIEW_ID,
      key: question.key ?? this.keyOf(question.account),
      deadlineMs: null,
      tokens:
        promptTokens === null
          ? null
          : {prompt: promptTokens, output: outputTokens},
      lastEventId: null,
      resumedRequestId: null,
      promptParts,
    };
  }

  /** A key of the client account of that name; null without a name. */
  private keyOf(account: string | null): string | null {
    if (account === null) return null;
    const keys = this.gateway.configState.current?.accountsByKey ?? [];
    for (const [key, {name}] of keys) if (name === account) return key;
    throw new PreviewError(NOT_FOUND, `no client account "${account}"`);
  }

  private admit({host, path}: PreviewQuestion, head: RequestHead): Admission {
    const {configState, settings} = this.gateway;
    const maxAgeMs = settings.maxConfigAgeMs ?? Infinity;
    const state = {
      cfg: configState.current,
      routes: configState.routes,
      isStale: configState.ageMs > maxAgeMs - CONFIG_AGE_MARGIN_MS,
    };
    try {
      return admit(state, host, path, head);
    } catch (e) {
      if (!(e instanceof GatewayRefusalError)) throw e;
      const {reason, status} = e;
      const what = `refused for ${host}${path}: ${reason}`;
      // A missing key is a matter of the question, not of who asks it.
      const isClientError = status < 500;
      throw new PreviewError(isClientError ? NOT_FOUND : status, what);
    }
  }

  private quotaWaitMs(
    {account, quotaUnits, route}: Admission,
    head: RequestHead,
  ): number {
    if (!account?.quota) return 0;
    const {clock, quotaLedger} = this.gateway;
    const priority = quotaPriorityOf(route, head);
    const now = clock.monotonicMs();
    const {name, quota} = account;
    return quotaLedger.waitMs(name, quota, quotaUnits, now, priority);
  }

  private async previewService(
    service: string,
    weight: number,
    admission: Admission,
    head: RequestHead,
  ): Promise<ServicePreview> {
    const {members} = this.gateway;
    const {timeoutMs} = admission.route;
    const owner = members.ownerOf(service);
    const progress = {
      lastEventId: null,
      softwareVersion: null,
      hasSentHead: false,
    };
    const request = {
      admission,
      head,
      fingerprint: PREVIEW_ID,
      timer: {elapsedMs: 0, remainingMs: timeoutMs, ownRemainingMs: timeoutMs},
    };
    const {gateway} = this;
    const item = createGrantRequest(gateway, request, progress, {
      isRetry: false,
      isAskedAgain: false,
      excluded: [],
      avoidedZones: [],
      requiredVersion: versionToBegin(gateway, request, service, progress),
    });
    const preview = {service, weight, owner: owner.id};
    if (members.isSelf(owner)) {
      const queue = this.dispatcher.preview(service, item);
      return {...preview, queue, error: null};
    }
    const answer = await callPeer(
      this.network,
      owner,
      GATEWAY_METHOD.PREVIEW,
      {service, item},
      QUEUE_PREVIEW_SCHEMA,
      PREVIEW_CALL_TIMEOUT_MS,
    );
    return answer.match(
      queue => ({...preview, queue, error: null}),
      err => ({...preview, queue: null, error: err.message}),
    );
  }
}
