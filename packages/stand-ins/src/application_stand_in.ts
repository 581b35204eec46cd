import {HEADER, UPSTREAM_PATH} from '@fescuespool/protocol';
import {sha256Hex, sleep} from '@fescuespool/common';
import {z} from 'zod';
import {CONTROL_PATH, CRASH_MARKER} from './constants.js';
import {sendJson, startStandInServer} from './control_server.js';
import {ExecutionLog} from './execution_log.js';
import type {StandIn} from './types.js';

/** Schema of an application engine's settings. */
export const APPLICATION_SETTINGS_SCHEMA = z.object({
  host: z.string().default('127.0.0.1'),
  port: z.number().int().default(0),
  /** Time in milliseconds that a call takes. */
  serviceMs: z.number().default(20),
});

/** Schema of an application engine's faults. */
export const APPLICATION_FAULTS_SCHEMA = z.object({
  serviceMs: z.number().optional(),
  leaving: z.boolean().optional(),
  /** Number of calls that run and whose connection is then cut. */
  cutNext: z.number().optional(),
  /** Number of calls that are refused as not accepted. */
  refuseNext: z.number().optional(),
  blockedSources: z.array(z.string()).optional(),
});

/** Faults of an application engine. */
export type ApplicationFaults = z.infer<typeof APPLICATION_FAULTS_SCHEMA>;

/** Starts an application engine's stand-in. */
export async function startApplicationEngine(
  settings: z.infer<typeof APPLICATION_SETTINGS_SCHEMA>,
): Promise<StandIn> {
  let faults: ApplicationFaults = {};
  let running = 0;
  const log = new ExecutionLog();
  const takeFault = (name: 'cutNext' | 'refuseNext'): boolean => {
    const left = faults[name] ?? 0;
    if (left > 0) faults = {...faults, [name]: left - 1};
    return left > 0;
  };
  return startStandInServer({
    host: settings.host,
    port: settings.port,
    isBlocked: source => faults.blockedSources?.includes(source) ?? false,
    handleControl: (path, body) => {
      if (path === CONTROL_PATH.RECORDS) return log.records;
      if (path === CONTROL_PATH.FAULTS) {
        const text = body.toString();
        const patch = APPLICATION_FAULTS_SCHEMA.parse(JSON.parse(text));
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
      if (takeFault('refuseNext')) {
        res.writeHead(503, {[HEADER.NOT_ACCEPTED]: 'true'});
        res.end();
        return;
      }
      const requestId = String(req.headers[HEADER.REQUEST_ID] ?? '');
      const call = `${req.method} ${path}`;
      const record = log.start(requestId, call, body);
      if (body.includes(CRASH_MARKER)) process.exit(1);
      running++;
      await sleep(faults.serviceMs ?? settings.serviceMs);
      running--;
      log.finish(record, 'completed');
      if (takeFault('cutNext')) {
        req.socket.destroy();
        return;
      }
      sendJson(res, {
        requestId,
        call,
        bodyHash: sha256Hex(body),
        execution: log.records.length,
      });
    },
  });
}
