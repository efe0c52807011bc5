/**
One timer for all links of a process: a host with a thousand links would else wake a thousand times for each look.
*/
import type * as utils from 'wagtailroute-utils';
import {WATCH_MILLISECONDS} from './constants.ts';

const watched = new Set<() => void>();
let timer: NodeJS.Timeout | undefined;

/**
Looks at a link now and then, until the teardown.
*/
export function registerWatch(look: () => void): utils.Teardown {
	watched.add(look);
	timer ??= setInterval(lookAtAll, WATCH_MILLISECONDS);
	return () => {
		watched.delete(look);
		if (watched.size > 0) {
			return;
		}

		clearInterval(timer);
		timer = undefined;
	};
}

function lookAtAll(): void {
	for (const look of watched) {
		look();
	}
}
