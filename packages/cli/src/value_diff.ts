/** A place at which two values differ. */
export interface ValueChange {
  readonly place: string;
  readonly before: unknown;
  readonly after: unknown;
}

function isRecord(value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

/** Lists the places at which two JSON values differ. */
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
    const inner = place ? `${place}.${key}` : key;
    return diffValues(before[key], after[key], inner);
  });
}
