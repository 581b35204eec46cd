import type {PromptPart} from '@fescuespool/scheduling';

/** Ids of the parts of a prompt, by which causes of crashes are known. */
export function partIds(parts: readonly PromptPart[]): string[] {
  return parts.map(({id}) => id);
}
