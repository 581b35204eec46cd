import {Command, Option} from 'clipanion';
import {BaseCommand} from './base_command.js';

const CATEGORY = 'Status';

type Rows = Array<Record<string, unknown>>;

/** Prints the daemons with the state that one daemon tracks. */
export class NodesCommand extends BaseCommand {
  static override paths = [['nodes']];
  static override usage = Command.Usage({
    category: CATEGORY,
    description: 'print the daemons with the state that one daemon tracks',
  });

  async run(): Promise<void> {
    const body = await this.call('GET', '/nodes');
    this.print(body, () => ({
      head: ['node', 'zone', 'state', 'reachable', 'address'],
      rows: (body['nodes'] as Rows).map(node => [
        node['id'],
        node['zone'],
        node['state'],
        node['reachable'],
        node['address'],
      ]),
    }));
  }
}

/** Prints each cell with its dispatcher and queue lengths. */
export class CellsCommand extends BaseCommand {
  static override paths = [['cells']];
  static override usage = Command.Usage({
    category: CATEGORY,
    description: 'print the queue of each service and its dispatcher',
  });

  async run(): Promise<void> {
    const body = await this.call('GET', '/cells');
    this.print(body, () => ({
      head: ['service', 'dispatcher', 'waiting by tier', 'upstreams'],
      rows: (body['cells'] as Rows).map(cell => [
        cell['service'],
        cell['dispatcher'],
        (cell['waitingByTier'] as number[]).join(' / '),
        (cell['upstreams'] as Rows).length,
      ]),
    }));
  }
}

/** Prints the upstreams with the state that their dispatchers track. */
export class UpstreamsCommand extends BaseCommand {
  static override paths = [['upstreams']];
  static override usage = Command.Usage({
    category: CATEGORY,
    description:
      'print the upstreams with the state that their dispatchers track',
  });

  async run(): Promise<void> {
    const body = await this.call('GET', '/cells');
    const upstreams = (body['cells'] as Rows).flatMap(cell =>
      (cell['upstreams'] as Rows).map(upstream => ({
        service: cell['service'],
        ...upstream,
      })),
    ) as Rows;
    this.print({upstreams}, () => ({
      head: [
        'service',
        'upstream',
        'health',
        'running',
        'slots',
        'cached blocks',
        'prefill tokens/s',
        'ms/token',
      ],
      rows: upstreams.map(upstream => [
        upstream['service'],
        upstream['id'],
        upstream['health'],
        upstream['running'],
        upstream['slots'],
        upstream['cachedBlocks'],
        upstream['prefillRate'],
        upstream['tokenIntervalMs'],
      ]),
    }));
  }
}

/** Prints the counters and gauges of one daemon. */
export class StatsCommand extends BaseCommand {
  static override paths = [['stats']];
  static override usage = Command.Usage({
    category: CATEGORY,
    description: 'print the counters and gauges of one daemon',
  });

  async run(): Promise<void> {
    const body = await this.call('GET', '/stats');
    const counters = body['counters'] as Record<string, number>;
    const gauges = Object.entries(body).filter(
      ([, value]) => typeof value !== 'object',
    );
    this.print(body, () => ({
      head: ['name', 'value'],
      rows: [...gauges, ...Object.entries(counters).sort()],
    }));
  }
}

/** Prints the recorded events of one request. */
export class TraceCommand extends BaseCommand {
  static override paths = [['trace']];
  static override usage = Command.Usage({
    category: CATEGORY,
    description: 'print the recorded events of a request',
    examples: [['By the X-Request-Id of its response', '$0 trace 3f2a…']],
  });

  requestId = Option.String({required: true, name: 'requestId'});

  async run(): Promise<void> {
    const id = encodeURIComponent(this.requestId);
    const body = await this.call('GET', `/trace/${id}`);
    this.print(body, () => ({
      head: ['time', 'event', 'fields'],
      rows: (body['events'] as Rows).map(event => [
        new Date(Number(event['atMs'])).toISOString(),
        event['event'],
        Object.entries(event['fields'] as object)
          .map(([key, value]) => `${key}=${String(value)}`)
          .join(' '),
      ]),
    }));
  }
}

/** Starts the graceful shutdown of one daemon. */
export class DrainCommand extends BaseCommand {
  static override paths = [['drain']];
  static override usage = Command.Usage({
    category: CATEGORY,
    description: 'start the graceful shutdown of the daemon at --url',
    details: `
      The daemon reports not ready, hands over its cells and exits when its open
      requests have ended.
    `,
  });

  async run(): Promise<void> {
    const body = await this.call('POST', '/drain', {});
    this.print(body, () => ({
      head: ['draining'],
      rows: [[body['draining']]],
    }));
  }
}
