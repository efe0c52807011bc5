/**
One timer for all links of a process: a host with a thousand links would else wake a thousand times for each look.
*/
import type * as utils from 'wagtailroute-utils';
import {LINK_CHECK_INTERVAL_MILLISECONDS} from './constants.ts';

const checks = new Set<() => void>();
let timer: NodeJS.Timeout | undefined;

/**
Looks at a link now and then, until the teardown.
*/
export function registerCheck(check: () => void): utils.Teardown {
	checks.add(check);
	timer ??= setInterval(runChecks, LINK_CHECK_INTERVAL_MILLISECONDS);
	return () => {
		checks.delete(check);
		if (checks.size > 0) {
			return;
		}

		clearInterval(timer);
		timer = undefined;
	};
}

function runChecks(): void {
	for (const check of checks) {
		check();
	}
}
