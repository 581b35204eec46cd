import {LRUCache} from 'lru-cache';
import {RUN_END} from '../constants.js';
import type {EndReport, GrantRequest, RunEnd, UpstreamSpec} from '../types.js';
import {AnswerTimes, classOf} from './answer_times.js';
import {MAX_ROLLOUT_ROUTES} from './constants.js';
import {RecentShare} from './recent_share.js';

/** Maximum number of open answers that are followed. */
const MAX_OPEN_ANSWERS = 16_384;

/** Maximum number of upstreams whose last broken connection is remembered. */
const MAX_BROKEN_UPSTREAMS = 1_024;

/** Milliseconds within which broken connections of an upstream are one crash. */
const CRASH_MS = 1_000;

/** Times its age at which an open answer that takes longer than most is slow. */
const LATE_FACTOR = 1.8;

/** Milliseconds after an answer at which those of its time are known. */
const COMPARISON_DELAY_MS = 400;

/** Ends by which the upstream itself answered with a failure. */
const FAILURES: ReadonlySet<RunEnd> = new Set([RUN_END.FAILED]);

/** Ends that one crash, or a cut link, brings to all runs of an upstream. */
const BREAKS: ReadonlySet<RunEnd> = new Set([RUN_END.BROKEN, RUN_END.SILENT]);

interface OpenAnswer {
  readonly requestClass: string;
  readonly route: string;
  readonly instanceId: string;
  readonly isTarget: boolean;
  readonly grantedAtMs: number;
  /** Whether it counts as bad already, as it is late. */
  isJudged: boolean;
}

/** A judged answer of the target. */
export interface JudgedAnswer {
  readonly route: string;
  readonly instanceId: string;
  readonly isBad: boolean;
  /** Share of bad answers that is expected of a good version. */
  readonly expectedShare: number;
}

type PendingAnswer = Omit<JudgedAnswer, 'expectedShare'> & {
  readonly atMs: number;
};

/** Judges answers against those of the serving versions in the same seconds. */
export class AnswerJudge {
  private readonly open = new LRUCache<string, OpenAnswer>({
    max: MAX_OPEN_ANSWERS,
  });
  private readonly times = new AnswerTimes();
  private readonly serving = new RecentShare(MAX_ROLLOUT_ROUTES);
  private readonly brokeAtMs = new LRUCache<string, number>({
    max: MAX_BROKEN_UPSTREAMS,
  });
  /** Answers of the target that are not compared yet, in their order. */
  private readonly pending: PendingAnswer[] = [];
  private readonly openByRoute = new Map<string, number>();

  constructor(private readonly onTarget: (answer: JudgedAnswer) => void) {}

  /** Whether an answer to a request could be judged by its time. */
  canJudge(request: GrantRequest): boolean {
    return this.times.slowAfterMs(classOf(request)) !== null;
  }

  /** Routes that the serving versions answered in the last seconds. */
  activeRoutes(nowMs: number): string[] {
    return this.serving.activeRoutes(nowMs);
  }

  /** Longest of the serving versions' recent answers in milliseconds. */
  get longestMs(): number {
    return this.times.longestMs;
  }

  /** Answers of the target to a route that are open. */
  openCount(route: string): number {
    return this.openByRoute.get(route) ?? 0;
  }

  /** Open answers of the target to a route that take longer than most. */
  lateCount(route: string, nowMs: number): number {
    let count = 0;
    for (const answer of this.open.values()) {
      if (answer.isJudged || !answer.isTarget || answer.route !== route)
        continue;
      const ageMs = nowMs - answer.grantedAtMs;
      if (this.isSlow(answer, LATE_FACTOR * ageMs)) count++;
    }
    return count;
  }

  /** Follows a granted request. */
  begin(
    request: GrantRequest,
    {instanceId}: UpstreamSpec,
    isTarget: boolean,
    nowMs: number,
  ): void {
    const route = request.route ?? '';
    this.open.set(request.requestId, {
      requestClass: classOf(request),
      route,
      instanceId,
      isTarget,
      grantedAtMs: nowMs,
      isJudged: false,
    });
    if (isTarget) this.countOpen(route, 1);
  }

  /** Judges an answer that has ended. */
  end({requestId, end, runMs}: EndReport, nowMs: number): void {
    const answer = this.open.get(requestId);
    if (!answer) return;
    this.open.delete(requestId);
    if (answer.isTarget) this.countOpen(answer.route, -1);
    if (answer.isJudged) return;
    if (FAILURES.has(end)) return this.judge(answer, true, nowMs);
    if (BREAKS.has(end)) {
      if (this.isNewCrash(answer, nowMs)) this.judge(answer, true, nowMs);
      return;
    }
    if (end !== RUN_END.COMPLETED) return;
    this.judge(answer, this.isSlow(answer, runMs), nowMs);
    if (!answer.isTarget) this.times.record(answer.requestClass, runMs);
  }

  /**
   * Counts the answers as bad that are slow already and still missing, and
   * compares the target's with what else was answered at their time.
   */
  judgeUntil(nowMs: number): void {
    this.judgeMissing(nowMs);
    while (this.pending.length > 0) {
      const [{atMs, ...answer}] = this.pending as [PendingAnswer];
      if (nowMs - atMs < COMPARISON_DELAY_MS) return;
      this.pending.shift();
      const expectedShare = this.serving.expected(answer.route, atMs);
      this.onTarget({...answer, expectedShare});
    }
  }

  private judgeMissing(nowMs: number): void {
    for (const answer of this.open.values()) {
      if (answer.isJudged) continue;
      if (!this.isSlow(answer, nowMs - answer.grantedAtMs)) continue;
      answer.isJudged = true;
      this.judge(answer, true, nowMs);
    }
  }

  private judge(answer: OpenAnswer, isBad: boolean, nowMs: number): void {
    const {route, instanceId, isTarget} = answer;
    if (!isTarget) {
      this.serving.record(route, isBad, nowMs);
      return;
    }
    this.pending.push({route, instanceId, isBad, atMs: nowMs});
  }

  private isSlow({requestClass}: OpenAnswer, runMs: number): boolean {
    const slowAfterMs = this.times.slowAfterMs(requestClass);
    return slowAfterMs !== null && runMs > slowAfterMs;
  }

  private isNewCrash({instanceId}: OpenAnswer, nowMs: number): boolean {
    const lastMs = this.brokeAtMs.get(instanceId) ?? -Infinity;
    if (nowMs - lastMs < CRASH_MS) return false;
    this.brokeAtMs.set(instanceId, nowMs);
    return true;
  }

  private countOpen(route: string, change: number): void {
    this.openByRoute.set(route, this.openCount(route) + change);
  }
}
