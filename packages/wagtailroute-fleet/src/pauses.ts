/**
Tells when a process was busy or stood still for so long that its timers ran late: all that it answers is late by as much.
*/
import type * as utils from 'wagtailroute-utils';
import {PAUSE_CHECK_MILLISECONDS, PAUSE_MILLISECONDS} from './constants.ts';
import type {FleetContext} from './context.ts';

/**
Starts looking.
*/
export function watchPauses(context: FleetContext): utils.Teardown {
	const log = context.logs('process');
	let checkedAt = context.now();
	return context.repeat(PAUSE_CHECK_MILLISECONDS, () => {
		const late = context.now() - checkedAt - PAUSE_CHECK_MILLISECONDS;
		checkedAt = context.now();
		context.metrics.observe('pause', Math.max(0, late));
		if (late >= PAUSE_MILLISECONDS) {
			log.warn('Process paused.', {milliseconds: Math.round(late)});
		}
	});
}
