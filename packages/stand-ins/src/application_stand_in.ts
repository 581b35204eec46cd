import {HEADER, UPSTREAM_PATH} from '@fescuespool/protocol';
import {sha256Hex, sleep} from '@fescuespool/common';
import {z} from 'zod';
import {CONTROL_PATH, CRASH_MARKER} from './constants.js';
import {sendJson, startStandInServer} from './control_server.js';
import {ExecutionLog} from './execution_log.js';
import type {StandIn} from './types.js';

/** Schema of the settings of an application upstream. */
export const APPLICATION_SETTINGS_SCHEMA = z.object({
  host: z.string().default('127.0.0.1'),
  port: z.number().int().default(0),
  /** Duration of a call in milliseconds. */
  serviceMs: z.number().default(20),
});

/** Schema of the faults that can be set on an application upstream. */
export const APPLICATION_FAULTS_SCHEMA = z.object({
  /** Replaces the duration of a call in the settings, in milliseconds. */
  serviceMs: z.number().optional(),
  /** Reported with the load: the upstream is leaving. */
  leaving: z.boolean().optional(),
  /** Number of calls that run, but whose connection is closed at their end. */
  cutNext: z.number().optional(),
  /** Number of calls that are rejected as not accepted, without running. */
  refuseNext: z.number().optional(),
  /** Source addresses whose connections are closed. */
  blockedSources: z.array(z.string()).optional(),
});

/** Faults that can be set on an application upstream. */
export type ApplicationFaults = z.infer<typeof APPLICATION_FAULTS_SCHEMA>;

/**
 * Starts a server that emulates an application upstream; the faults are set
 * over its control interface.
 */
export async function startApplicationStandIn(
  settings: z.infer<typeof APPLICATION_SETTINGS_SCHEMA>,
): Promise<StandIn> {
  let faults: ApplicationFaults = {};
  let running = 0;
  const executionLog = new ExecutionLog();
  const consumeFault = (name: 'cutNext' | 'refuseNext'): boolean => {
    const remaining = faults[name] ?? 0;
    if (remaining > 0) faults = {...faults, [name]: remaining - 1};
    return remaining > 0;
  };
  return startStandInServer({
    host: settings.host,
    port: settings.port,
    isBlocked: source => faults.blockedSources?.includes(source) ?? false,
    handleControl: (path, body) => {
      if (path === CONTROL_PATH.RECORDS) return executionLog.records;
      if (path === CONTROL_PATH.FAULTS) {
        const json = body.toString();
        const patch = APPLICATION_FAULTS_SCHEMA.parse(JSON.parse(json));
        faults = {...faults, ...patch};
      }
      return {running};
    },
    handleRequest: async (body, req, res) => {
      const path = req.url ?? '/';
      if (path === UPSTREAM_PATH.LOAD) {
        const leaving = faults.leaving ?? false;
        sendJson(res, {running, queuedTokens: 0, leaving, evicted: []});
        return;
      }
      if (consumeFault('refuseNext')) {
        res.writeHead(503, {[HEADER.NOT_ACCEPTED]: 'true'});
        res.end();
        return;
      }
      const requestId = String(req.headers[HEADER.REQUEST_ID] ?? '');
      const call = `${req.method} ${path}`;
      const record = executionLog.start(requestId, call, body);
      if (body.includes(CRASH_MARKER)) process.exit(1);
      running++;
      await sleep(faults.serviceMs ?? settings.serviceMs);
      running--;
      executionLog.finish(record, 'completed');
      if (consumeFault('cutNext')) {
        req.socket.destroy();
        return;
      }
      sendJson(res, {
        requestId,
        call,
        bodyHash: sha256Hex(body),
        execution: executionLog.records.length,
      });
    },
  });
}
