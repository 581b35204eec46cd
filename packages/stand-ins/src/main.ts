#!/usr/bin/env node
import {
  APPLICATION_SETTINGS_SCHEMA,
  startApplicationStandIn,
} from './application_stand_in.js';
import {STAND_IN_KIND} from './constants.js';
import {StandInError} from './errors.js';
import {MODEL_SETTINGS_SCHEMA, startModelStandIn} from './model_stand_in.js';
import {
  PLATFORM_SETTINGS_SCHEMA,
  startPlatformStandIn,
} from './platform_stand_in.js';
import type {StandIn} from './types.js';

async function start(kind: string, settings: unknown): Promise<StandIn> {
  switch (kind) {
    case STAND_IN_KIND.PLATFORM:
      return startPlatformStandIn(PLATFORM_SETTINGS_SCHEMA.parse(settings));
    case STAND_IN_KIND.MODEL:
      return startModelStandIn(MODEL_SETTINGS_SCHEMA.parse(settings));
    case STAND_IN_KIND.APPLICATION:
      return startApplicationStandIn(
        APPLICATION_SETTINGS_SCHEMA.parse(settings),
      );
    default:
      throw new StandInError(`unknown kind of stand-in: ${kind}`);
  }
}

// Arguments: the kind of stand-in and its settings as JSON.
const [kind = '', settings = '{}'] = process.argv.slice(2);
const standIn = await start(kind, JSON.parse(settings));
process.stdout.write(`ready ${standIn.url}\n`);
process.once('SIGTERM', () => process.exit(0));
