import type {UpstreamSpec} from '@fescuespool/scheduling';
import {describe, expect, it} from 'vitest';
import {UpstreamRegistry} from './upstream_registry.js';

function life(
  startedAtUnixMs: number | null,
  changes: Partial<UpstreamSpec> = {},
): UpstreamSpec {
  return {
    instanceId: 'i-1',
    address: '10.0.0.1:80',
    zone: 'a',
    slots: 1,
    isLeaving: false,
    startedAtUnixMs,
    softwareVersion: 'v1',
    ...changes,
  };
}

describe('UpstreamRegistry', () => {
  it('takes an upstream as replaced only if a newer life is registered', () => {
    const registry = new UpstreamRegistry();
    expect(registry.isReplaced(life(1))).toBe(false);
    registry.replace(new Map([['app', [life(2)]]]), 0);
    expect(registry.isReplaced(life(1))).toBe(true);
    expect(registry.isReplaced(life(2))).toBe(false);
    expect(registry.isReplaced(life(3))).toBe(false);
  });

  describe('with an upstream that said it leaves', () => {
    const listing = (...specs: UpstreamSpec[]): Map<string, UpstreamSpec[]> =>
      new Map([['app', specs]]);
    const registryOf = (...specs: UpstreamSpec[]): UpstreamRegistry => {
      const registry = new UpstreamRegistry();
      registry.replace(listing(...specs), 0);
      return registry;
    };

    it('takes it as leaving though its entry is written again as ready', () => {
      const registry = registryOf(life(1));
      expect(registry.recordLeaving(life(1))).toBe(true);
      expect(registry.recordLeaving(life(1))).toBe(false);
      registry.replace(listing(life(1, {slots: 2})), 1);
      expect(registry.isLeaving(life(1))).toBe(true);
      expect(registry.byService.get('app')).toEqual([
        life(1, {slots: 2, isLeaving: true}),
      ]);
      expect(registry.leavingButListed).toEqual([
        {service: 'app', instanceId: 'i-1', startedAtUnixMs: 1},
      ]);
    });

    it('takes it as leaving if its entry arrives later', () => {
      const registry = registryOf();
      registry.recordLeaving(life(1));
      expect(registry.isLeaving(life(1))).toBe(true);
      registry.replace(listing(life(1)), 1);
      expect(registry.byService.get('app')?.[0]?.isLeaving).toBe(true);
    });

    it('does not take a later life under its id as leaving', () => {
      const registry = registryOf(life(1));
      registry.recordLeaving(life(1));
      expect(registry.isLeaving(life(2))).toBe(false);
      registry.replace(listing(life(2)), 1);
      expect(registry.isLeaving(life(2))).toBe(false);
      expect(registry.leavingButListed).toEqual([]);
    });

    it('names it no more once its entry says so too', () => {
      const registry = registryOf(life(1));
      registry.recordLeaving(life(1));
      registry.replace(listing(life(1, {isLeaving: true})), 1);
      expect(registry.isLeaving(life(1))).toBe(true);
      expect(registry.leavingButListed).toEqual([]);
    });
  });
});
