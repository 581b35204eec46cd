import {beforeEach, describe, expect, it} from 'vitest';
import {
  CRASH_CAUSE_TTL_MS,
  DEATH_EPISODE_MS,
  DEATH_SETTLE_MS,
} from './constants.js';
import {CrashCauseTracker} from './crash_cause_tracker.js';

describe('CrashCauseTracker', () => {
  let nowMs: number;
  let found: string[];
  let contents: number;
  const clock = {monotonicMs: () => nowMs, wallMs: () => nowMs};
  const newTracker = (): CrashCauseTracker =>
    new CrashCauseTracker(clock, ({part}) => found.push(part));
  let tracker: CrashCauseTracker;

  beforeEach(() => {
    nowMs = 1_000;
    found = [];
    contents = 0;
    tracker = newTracker();
  });

  const die = (...parts: string[]): void => {
    const content = `content-${contents++}`;
    tracker.recordDeath(`i-${contents}`, {content, parts});
    nowMs += DEATH_EPISODE_MS;
  };
  const settle = (): void => void (nowMs += DEATH_SETTLE_MS);

  it('finds a cause after three deaths and keeps it in force for a time', () => {
    die('first', 'bad', '1');
    die('first', 'bad', '2');
    settle();
    expect(tracker.findCause(['bad'])).toBeNull();
    die('first', 'bad', '3');
    settle();
    expect(tracker.findCause(['other', 'bad', '4'])).toBe('bad');
    expect(tracker.findCause(['first', '5'])).toBeNull();
    nowMs += CRASH_CAUSE_TTL_MS;
    expect(tracker.findCause(['bad'])).toBeNull();
    expect(found).toEqual(['bad']);
  });

  it('puts an expired cause in force again after one more death, for longer', () => {
    for (const own of ['1', '2', '3']) die('bad', own);
    settle();
    expect(tracker.findCause(['bad'])).toBe('bad');
    nowMs += CRASH_CAUSE_TTL_MS;
    die('bad', '4');
    expect(tracker.findCause(['bad'])).toBe('bad');
    nowMs += CRASH_CAUSE_TTL_MS;
    expect(tracker.findCause(['bad'])).toBe('bad');
  });

  describe('a response to a request with a part', () => {
    it('clears the part of earlier deaths', () => {
      die('busy', '1');
      die('busy', '2');
      expect(tracker.recordSurvival(['busy', '3'])).toEqual(['busy']);
      die('busy', '4');
      settle();
      expect(tracker.findCause(['busy'])).toBeNull();
    });

    it('clears it if the response comes just after the last death', () => {
      for (const own of ['1', '2', '3']) die('busy', own);
      tracker.recordSurvival(['busy', '4']);
      settle();
      expect(tracker.findCause(['busy'])).toBeNull();
    });

    it('ends a cause in force', () => {
      for (const own of ['1', '2', '3']) die('busy', own);
      settle();
      expect(tracker.findCause(['busy'])).toBe('busy');
      expect(tracker.recordSurvival(['busy'])).toEqual(['busy']);
      expect(tracker.findCause(['busy'])).toBeNull();
    });
  });

  it('does not blame other requests for deaths that a known cause explains', () => {
    tracker.adopt([{part: 'bad', remainingMs: CRASH_CAUSE_TTL_MS}]);
    for (const id of ['i-a', 'i-b', 'i-c', 'i-d']) {
      tracker.recordDeath(id, {content: `${id}1`, parts: ['rare', `${id}1`]});
      tracker.recordDeath(id, {content: `${id}2`, parts: ['bad', `${id}2`]});
      tracker.recordDeath(id, {content: `${id}3`, parts: ['rare', `${id}3`]});
      nowMs += DEATH_EPISODE_MS;
    }
    settle();
    expect(tracker.findCause(['rare'])).toBeNull();
  });

  it('finds the cause although many other requests were in flight', () => {
    for (const id of ['i-a', 'i-b', 'i-c']) {
      for (let i = 0; i < 40; i++) {
        const own = `${id}-${i}`;
        tracker.recordDeath(id, {content: own, parts: [own]});
      }
      tracker.recordDeath(id, {content: id, parts: ['bad', id]});
      nowMs += DEATH_EPISODE_MS;
    }
    settle();
    expect(tracker.findCause(['bad'])).toBe('bad');
  });

  it('finds a cause whose last report comes late', () => {
    die('bad', '1');
    die('bad', '2');
    tracker.recordDeath('i-9', {content: 'x', parts: ['other']});
    settle();
    expect(tracker.findCause(['bad'])).toBeNull();
    tracker.recordDeath('i-9', {content: 'y', parts: ['bad', '3']});
    expect(tracker.findCause(['bad'])).toBe('bad');
  });

  it('finds two causes among the same deaths', () => {
    for (const own of ['1', '2', '3']) {
      die('bad', own);
      die('worse', own);
    }
    settle();
    tracker.findCause([]);
    expect(tracker.findCause(['bad'])).toBe('bad');
    expect(tracker.findCause(['worse'])).toBe('worse');
  });

  it('counts a death once that several entries report', () => {
    for (let i = 0; i < 6; i++) {
      const content = `c${i}`;
      tracker.recordDeath('i-1', {content, parts: ['bad', content]});
    }
    settle();
    expect(tracker.findCause(['bad'])).toBeNull();
  });

  it('adopts the causes of another member with their remaining time', () => {
    for (const own of ['1', '2', '3']) die('bad', own);
    settle();
    tracker.findCause(['bad']);
    const other = newTracker();
    other.adopt(tracker.causes);
    expect(other.findCause(['bad'])).toBe('bad');
    nowMs += CRASH_CAUSE_TTL_MS;
    expect(other.findCause(['bad'])).toBeNull();
  });
});
