/**
Writes the log line and the metrics of each answered request.
*/
import type * as proxy from 'wagtailroute-proxy';
import type {FleetContext} from './context.ts';

/**
Creates a function that records a request after its answer.
*/
export function createRequestLog(context: FleetContext): (report: proxy.RequestReport) => void {
	const log = context.logs('request');
	return report => {
		const {service, outcome, status, failure, milliseconds} = report;
		context.metrics.count('requests', {service, outcome, status: String(status)});
		context.metrics.observe('request', milliseconds, {service});
		if (failure !== undefined) {
			context.metrics.count('failures', {service, kind: failure.kind});
		}

		for (const {kind} of report.advertised) {
			context.metrics.count('advertisements', {service, kind});
		}

		const line = {
			request: report.requestId,
			service,
			class: report.requestClass,
			organisation: report.organisation,
			outcome,
			status,
			milliseconds: Math.round(milliseconds),
			waited: Math.round(report.choosingMilliseconds),
			attempts: report.attempts,
			upstream: report.upstream,
			...report.isBodyUnread && {bodyUnread: true},
			...report.advertised.length > 0 && {advertised: report.advertised},
			...failure !== undefined && {failure: failure.kind, detail: failure.message},
		};
		const isSuccess = failure === undefined && status < 500;
		log[isSuccess ? 'info' : 'warn'](isSuccess ? 'Request answered.' : 'Request failed.', line);
	};
}
