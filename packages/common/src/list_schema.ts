import {z} from 'zod';

/**
 * A list of items of one schema. It stops at the first item that doesn't match:
 * a list of a megabyte would bring hundreds of thousands of findings.
 */
export function listOf<T>(schema: z.ZodType<T>) {
  return z.array(z.unknown()).transform((items, context): T[] => {
    const list: T[] = [];
    for (const [i, item] of items.entries()) {
      const parsed = schema.safeParse(item);
      if (parsed.success) {
        list.push(parsed.data);
        continue;
      }
      const {path, message} = parsed.error.issues[0]!;
      context.addIssue({code: 'custom', path: [i, ...path], message});
      return z.NEVER;
    }
    return list;
  });
}
