import type {UpstreamSpec} from '../types.js';
import type {ObservedUpstream, RolloutRecord} from './types.js';

/** Milliseconds after which other upstreams of the target are tried. */
const ROTATION_MS = 1_500;

/** Share of the bad answers at which one upstream alone is to blame. */
const BLAMED_SHARE = 0.7;

/** Judged answers of the other upstreams that are needed to blame one. */
const MIN_OTHER_ANSWERS = 4;

/** Share of the target's upstreams that may be set aside; at least one. */
const MAX_SET_ASIDE_SHARE = 0.25;

/** Upstreams of the service during a roll-out. */
export class TrialUpstreams {
  private target: readonly ObservedUpstream[] = [];
  private others: readonly ObservedUpstream[] = [];
  private readonly tried = new Set<string>();
  private readonly setAside = new Set<string>();
  private readonly answers = new Map<string, {good: number; bad: number}>();
  /** Whether the upstreams are known. */
  isObserved = false;

  constructor(public record: RolloutRecord) {}

  /** Takes the state of all upstreams of the service. */
  observe(upstreams: readonly ObservedUpstream[]): void {
    const {target} = this.record;
    this.isObserved = true;
    this.target = upstreams
      .filter(({spec}) => spec.softwareVersion === target)
      .sort((a, b) => (a.spec.instanceId < b.spec.instanceId ? -1 : 1));
    this.others = upstreams.filter(({spec}) => spec.softwareVersion !== target);
    const present = new Set(this.target.map(({spec}) => spec.instanceId));
    for (const id of this.answers.keys()) {
      if (!present.has(id)) this.answers.delete(id);
    }
  }

  /** Slots of the target's upstreams that can be used. */
  get targetSlots(): number {
    return slotsOf(this.usableTarget);
  }

  /** Whether the target has fewer slots than the service needs. */
  get lacksSlots(): boolean {
    const needed = [...this.target, ...this.others].reduce(
      (sum, {running}) => sum + running,
      0,
    );
    return this.targetSlots === 0 || this.targetSlots < needed;
  }

  /** Requests that run at other versions than the target. */
  get runningBefore(): number {
    return this.others.reduce((sum, {running}) => sum + running, 0);
  }

  /** Whether a version may get no request. */
  isBarred(version: string | null): boolean {
    return version !== null && this.record.barredVersions.includes(version);
  }

  /** Whether an upstream was set aside, as it alone gave bad answers. */
  isSetAside(instanceId: string): boolean {
    return this.setAside.has(instanceId);
  }

  /** Whether an upstream of the target is tried now. */
  isTried({instanceId}: UpstreamSpec): boolean {
    return this.tried.has(instanceId);
  }

  /**
   * Chooses which upstreams of the target are tried: as many as give each the
   * load that an upstream of another version has, by turns.
   */
  rotate(share: number, elapsedMs: number): void {
    const {usableTarget} = this;
    const {length} = usableTarget;
    const wanted = Math.ceil(share * this.others.length);
    const count = Math.min(length, Math.max(1, wanted));
    const first = Math.floor(elapsedMs / ROTATION_MS) * count;
    this.tried.clear();
    for (let i = 0; i < count; i++) {
      this.tried.add(usableTarget[(first + i) % length]!.spec.instanceId);
    }
  }

  /** Records a judged answer of an upstream of the target. */
  recordAnswer(instanceId: string, isBad: boolean): void {
    const known = this.answers.get(instanceId) ?? {good: 0, bad: 0};
    if (isBad) known.bad++;
    else known.good++;
    this.answers.set(instanceId, known);
  }

  /** Sets the upstream aside that alone gave bad answers; false without one. */
  setAsideWorst(): boolean {
    const max = Math.max(1, MAX_SET_ASIDE_SHARE * this.target.length);
    if (this.setAside.size + 1 > max) return false;
    let worst: string | null = null;
    let mostBad = 0;
    let bad = 0;
    let total = 0;
    for (const [id, answers] of this.answers) {
      bad += answers.bad;
      total += answers.good + answers.bad;
      if (answers.bad <= mostBad) continue;
      mostBad = answers.bad;
      worst = id;
    }
    if (worst === null || mostBad < BLAMED_SHARE * bad) return false;
    const own = this.answers.get(worst)!;
    if (total - own.good - own.bad < MIN_OTHER_ANSWERS) return false;
    this.setAside.add(worst);
    this.answers.delete(worst);
    return true;
  }

  private get usableTarget(): ObservedUpstream[] {
    return this.target.filter(
      ({spec, isUsable}) =>
        isUsable && !spec.isLeaving && !this.setAside.has(spec.instanceId),
    );
  }
}

function slotsOf(upstreams: readonly ObservedUpstream[]): number {
  return upstreams.reduce((sum, {spec}) => sum + spec.slots, 0);
}
