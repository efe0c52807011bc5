/**
The line and the measurements of each answered request.
*/
import type * as proxy from 'wagtailroute-proxy';
import type {FleetContext} from './context.ts';

/**
Creates what is told of each answer.
*/
export function createNoting(context: FleetContext): (note: proxy.RequestNote) => void {
	const log = context.logs('request');
	return note => {
		const {service, outcome, status, failure, milliseconds} = note;
		context.metrics.count('requests', {service, outcome, status: String(status)});
		context.metrics.observe('request', milliseconds, {service});
		if (failure !== undefined) {
			context.metrics.count('failures', {service, kind: failure.kind});
		}

		if (note.rateLimit !== undefined) {
			context.metrics.count('rate_limited_answers', {service});
		}

		const line = {
			request: note.requestId,
			service,
			class: note.requestClass,
			organisation: note.organisation,
			outcome,
			status,
			milliseconds: Math.round(milliseconds),
			waited: Math.round(note.choosingMilliseconds),
			attempts: note.attempts,
			upstream: note.upstream,
			rateLimit: note.rateLimit,
			...failure !== undefined && {failure: failure.kind, detail: failure.message},
		};
		const isGood = failure === undefined && status < 500;
		log[isGood ? 'info' : 'warn'](isGood ? 'Answered.' : 'Failed.', line);
	};
}
