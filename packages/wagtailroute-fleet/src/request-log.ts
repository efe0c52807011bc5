/**
The line and the measurements of each answered request.
*/
import type * as proxy from 'wagtailroute-proxy';
import type {FleetContext} from './context.ts';

/**
Creates what is told of each answer.
*/
export function createRequestLog(context: FleetContext): (note: proxy.RequestReport) => void {
	const log = context.logs('request');
	return note => {
		const {service, outcome, status, failure, milliseconds} = note;
		context.metrics.count('requests', {service, outcome, status: String(status)});
		context.metrics.observe('request', milliseconds, {service});
		if (failure !== undefined) {
			context.metrics.count('failures', {service, kind: failure.kind});
		}

		for (const {kind} of note.advertised) {
			context.metrics.count('advertisements', {service, kind});
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
			...note.advertised.length > 0 && {advertised: note.advertised},
			...failure !== undefined && {failure: failure.kind, detail: failure.message},
		};
		const isGood = failure === undefined && status < 500;
		log[isGood ? 'info' : 'warn'](isGood ? 'Answered.' : 'Failed.', line);
	};
}
