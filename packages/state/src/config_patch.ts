import {errorFinding, FindingsError} from '@fescuespool/common';
import jsonPatch from 'fast-json-patch';
import type {Operation} from 'fast-json-patch';
import mergePatch from 'json-merge-patch';
import {err, ok} from 'neverthrow';
import type {Result} from 'neverthrow';
import type {ClusterConfig} from './config_schema.js';
import {checkConfig} from './config_schema.js';
import {PATCH_FORMAT} from './constants.js';
import type {PatchFormat} from './types.js';

/**
 * Configuration before the first patch. It is invalid as it is: the first patch
 * must add at least one tier.
 */
export const EMPTY_CONFIG = {
  tiers: [],
  zones: {},
  services: {},
  clientAccounts: {},
  upstreams: {},
} as const;

function applyJsonPatch(base: unknown, patch: unknown): unknown {
  const patchError = jsonPatch.validate(patch as Operation[], base);
  if (patchError) throw patchError;
  const copy = structuredClone(base);
  return jsonPatch.applyPatch(copy, patch as Operation[]).newDocument;
}

function applyMergePatch(base: unknown, patch: unknown): unknown {
  return mergePatch.apply(structuredClone(base) as object, patch as object);
}

/** Applies a patch to a configuration and checks the patched configuration. */
export function applyConfigPatch(
  base: unknown,
  format: PatchFormat,
  patch: unknown,
): Result<ClusterConfig, FindingsError> {
  try {
    const apply =
      format === PATCH_FORMAT.JSON ? applyJsonPatch : applyMergePatch;
    return ok(apply(base, patch)).andThen(checkConfig);
  } catch (e) {
    const message = e instanceof Error ? e.message : String(e);
    const firstLine = message.split('\n')[0] ?? message;
    return err(new FindingsError('patch', [errorFinding('', firstLine)]));
  }
}
