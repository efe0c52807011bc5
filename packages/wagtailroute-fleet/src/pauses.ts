/**
Detects that the process was busy or suspended for so long that its timers ran late: all its answers are late by as much.
*/
import type * as utils from 'wagtailroute-utils';
import {PAUSE_CHECK_INTERVAL_MILLISECONDS, MIN_PAUSE_MILLISECONDS} from './constants.ts';
import type {FleetContext} from './context.ts';

/**
Starts a periodic timer and reports how late it runs.
*/
export function watchPauses(context: FleetContext): utils.Teardown {
	const log = context.logs('process');
	let checkedAt = context.now();
	return context.repeat(PAUSE_CHECK_INTERVAL_MILLISECONDS, () => {
		const lateMilliseconds = context.now() - checkedAt - PAUSE_CHECK_INTERVAL_MILLISECONDS;
		checkedAt = context.now();
		context.metrics.observe('pause', Math.max(0, lateMilliseconds));
		if (lateMilliseconds >= MIN_PAUSE_MILLISECONDS) {
			log.warn('Process was busy or paused; timers ran late.', {milliseconds: Math.round(lateMilliseconds)});
		}
	});
}
