/**
Order of the queued requests by what it costs callers to delay or refuse them.
*/
export {
	type Displaced,
	type OrderedEntry,
	OrderedQueue,
} from './ordered-queue.ts';
export {getRetryAfter} from './retry-after.ts';
