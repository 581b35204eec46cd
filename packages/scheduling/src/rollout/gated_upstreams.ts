import type {GrantRequest, UpstreamSpec} from '../types.js';
import type {UpstreamChoice, UpstreamChooser} from '../upstream_choice.js';
import type {UpstreamState} from '../upstream_state.js';
import type {WaitingRequest} from '../waiting_request.js';
import type {VersionGate} from './types.js';

/** The upstreams of a queue, as far as roll-outs let requests go there. */
export class GatedUpstreams {
  constructor(
    private readonly states: ReadonlyMap<string, UpstreamState>,
    private readonly gateOf: () => VersionGate,
  ) {}

  /** The gate that is in force. */
  get gate(): VersionGate {
    return this.gateOf();
  }

  /** Usable upstreams of all versions. */
  usableOfAnyVersion(nowMs: number): UpstreamState[] {
    return [...this.states.values()].filter(state => state.isUsable(nowMs));
  }

  /** Usable upstreams to which general traffic may go. */
  usable(nowMs: number): UpstreamState[] {
    const {gate} = this;
    const usable = this.usableOfAnyVersion(nowMs);
    return gate.isActive
      ? usable.filter(({spec}) => gate.admits(spec))
      : usable;
  }

  /** Upstreams that are not leaving, and whose version may get requests. */
  staying(nowMs: number): UpstreamSpec[] {
    const {gate} = this;
    const specs = [...this.states.values()].map(({spec}) => spec);
    return specs.filter(
      spec =>
        !spec.isLeaving && (gate.admits(spec) || gate.admitsBound(spec, nowMs)),
    );
  }

  /** Whether a request may go to an upstream, if only for a trial. */
  mayTake(request: GrantRequest, state: UpstreamState, nowMs: number): boolean {
    const {gate} = this;
    return (
      !gate.isActive ||
      isAdmitted(gate, request, state, nowMs) ||
      gate.trialUpstreams(request, [state], nowMs).length > 0
    );
  }

  /** Chooses an upstream among those whose versions may get a request. */
  choose(
    chooser: UpstreamChooser,
    waiting: WaitingRequest,
    usable: readonly UpstreamState[],
    free: readonly UpstreamState[],
    nowMs: number,
  ): UpstreamChoice {
    const {gate} = this;
    if (!gate.isActive) return chooser.choose(waiting, usable, free, nowMs);
    const {request} = waiting;
    if (request.requiredVersion === null) {
      const tried = gate.trialUpstreams(request, free, nowMs);
      const choice =
        tried.length > 0
          ? chooser.choose(waiting, tried, tried, nowMs)
          : 'wait';
      if (typeof choice !== 'string') return choice;
    }
    const admitted = (state: UpstreamState): boolean =>
      isAdmitted(gate, request, state, nowMs);
    return chooser.choose(
      waiting,
      usable.filter(admitted),
      free.filter(admitted),
      nowMs,
    );
  }

  /** Tells the gate the state of all upstreams, if a roll-out needs it. */
  observe(nowMs: number): void {
    const {gate} = this;
    if (!gate.isActive) return;
    const observed = [...this.states.values()].map(state => ({
      spec: state.spec,
      running: state.runs.size,
      isUsable: state.isUsable(nowMs),
    }));
    gate.observe(observed, nowMs);
  }
}

function isAdmitted(
  gate: VersionGate,
  {requiredVersion}: GrantRequest,
  {spec}: UpstreamState,
  nowMs: number,
): boolean {
  return requiredVersion === null
    ? gate.admits(spec)
    : gate.admitsBound(spec, nowMs);
}
