import type {Logger} from '@fescuespool/common';
import type {GrantRequest, UpstreamSpec} from '@fescuespool/scheduling';

/** A request for an upstream that may be repeated, and has been sent nowhere yet. */
export const GRANT_REQUEST: GrantRequest = {
  requestId: 'r-0',
  entryId: 'm-0',
  zone: 'a',
  tier: 1,
  fingerprint: '',
  promptTokens: 0,
  objectiveLeftMs: 1_000,
  patienceLeftMs: 4_000,
  timeLeftMs: null,
  isRepeatable: true,
  isRetry: false,
  isAskedAgain: false,
  lendsRetries: false,
  excluded: [],
  avoidedZones: [],
  requiredVersion: null,
  route: null,
  account: null,
  accountQuotaPerS: null,
  outputTokens: null,
  maxEventGapMs: null,
  promptParts: [],
};

/** An upstream with room for all requests of a test. */
export const ROOMY_UPSTREAM: UpstreamSpec = {
  instanceId: 'u',
  address: '10.0.0.1:80',
  zone: 'a',
  slots: 1_000_000,
  isLeaving: false,
  startedAtUnixMs: 1,
  softwareVersion: null,
};

const ignore = (): void => undefined;

/** Discards all events. */
export const SILENT_LOG: Logger = {
  debug: ignore,
  info: ignore,
  warn: ignore,
  error: ignore,
};
