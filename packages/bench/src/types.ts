import type {ValueOf} from '@fescuespool/common';
import type {CALL_END} from './constants.js';

/** How a call ended for its caller. */
export type CallEnd = ValueOf<typeof CALL_END>;
