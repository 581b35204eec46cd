/** A difference between two JSON values; `place` is its dotted path. */
export interface ValueChange {
  readonly place: string;
  readonly before: unknown;
  readonly after: unknown;
}

function isRecord(value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

/**
 * Lists the differences between two JSON values. Objects are compared by key,
 * arrays as a whole.
 */
export function diffValues(
  before: unknown,
  after: unknown,
  place = '',
): ValueChange[] {
  if (!isRecord(before) || !isRecord(after)) {
    const isSame = JSON.stringify(before) === JSON.stringify(after);
    return isSame ? [] : [{place, before, after}];
  }
  const keys = new Set([...Object.keys(before), ...Object.keys(after)]);
  return [...keys].sort().flatMap(key => {
    const keyPlace = place ? `${place}.${key}` : key;
    return diffValues(before[key], after[key], keyPlace);
  });
}
