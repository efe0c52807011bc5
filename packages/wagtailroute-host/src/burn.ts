/**
Report on the burn of error budgets over the whole fleet.

Each host counts the requests that callers sent to it, and copies the counts of each closed bucket of five minutes to two
other hosts, the holders. A host that restarts fetches its counts from them; for a host that does not answer, the report uses
a holder's copy. docs/design/burn-report.md compares this with other places to store the counts.
*/
import * as buffer from 'node:buffer';
import type * as http from 'node:http';
import * as timers from 'node:timers/promises';
import type * as proxy from 'wagtailroute-proxy';
import * as report from 'wagtailroute-report';
import * as utils from 'wagtailroute-utils';
import type {AdminRoute} from './admin-routes.ts';
import {startBurnCopySender} from './burn-copy-sender.ts';
import {type BurnSources, gatherBurn, registerBurnMethods} from './burn-gathering.ts';
import {registerHeldCopies} from './burn-held-copies.ts';
import type {HostContext} from './context.ts';
import {answerProblem} from './problems.ts';

/**
Counts the requests of this host and answers the report of the fleet.
*/
export type BurnReporter = {
	/**
	Counts a finished request.
	*/
	readonly recordRequest: (request: proxy.RequestReport) => void;
	/**
	`GET /report/burn?window=1h&format=text`.
	*/
	readonly route: AdminRoute;
	/**
	Copies the last counts to their holders before the host stops.
	*/
	readonly handOver: () => Promise<void>;
	readonly teardown: utils.Teardown;
};

const DEFAULT_WINDOW = '1h';

/**
Starts the counting, the copies and the methods that other hosts call for a report.
*/
export function startBurnReporter(context: HostContext): BurnReporter {
	const counters = report.createBurnCounters();
	const held = registerHeldCopies(context);
	const copySender = startBurnCopySender(context, counters, held);
	const sources: BurnSources = {counters, held};
	const teardown = utils.mergeTeardowns(held.teardown, copySender.teardown, registerBurnMethods(context, sources));
	return {
		recordRequest(request) {
			countRequest(context, counters, request);
		},
		route: {
			method: 'GET',
			pattern: /^\/report\/burn$/v,
			handle: async ({response, query}) => answerReport(context, sources, response, query),
		},
		handOver: copySender.handOver,
		teardown,
	};
}

/**
Counts a request, unless another host forwarded it: that host counts it, including failures to reach this one, and the report
would hold it twice.
*/
function countRequest(context: HostContext, counters: report.BurnCounters, request: proxy.RequestReport): void {
	const versioned = context.store.read(({view}) => view.entries.get(request.service));
	if (versioned === undefined || request.isForwarded) {
		return;
	}

	const {
		service, outcome, status, milliseconds, isCancelled, failure,
	} = request;
	const result = {
		outcome, status, milliseconds, isCancelled, isFleetMade: failure !== undefined,
	};
	counters.record(service, result, versioned.entry.objective, context.now());
}

/**
Format of the report by the parameter `format`.
*/
type ReportFormat = {
	readonly contentType: string;
	readonly write: (burn: report.BurnReport) => string | Promise<string>;
};

/**
Milliseconds between two plots of a page. A request in flight needs several turns of the event loop, and without the pause it
would wait until the whole page is rendered.
*/
const PLOT_PAUSE_MILLISECONDS = 10;

const pauseBetweenPlots = async () => timers.setTimeout(PLOT_PAUSE_MILLISECONDS);

const FORMATS: ReadonlyMap<string, ReportFormat> = new Map([
	['text', {contentType: 'text/plain; charset=utf-8', write: report.formatText}],
	['json', {contentType: 'application/json', write: (burn: report.BurnReport) => JSON.stringify(burn)}],
	['html', {contentType: 'text/html; charset=utf-8', write: async (burn: report.BurnReport) => report.formatHtml(burn, pauseBetweenPlots)}],
]);

async function answerReport(
	context: HostContext,
	sources: BurnSources,
	response: http.ServerResponse,
	query: URLSearchParams,
): Promise<void> {
	const format = FORMATS.get(query.get('format') ?? 'text');
	if (format === undefined) {
		answerProblem(response, 400, {kind: 'format-unknown', message: 'The format must be text, json or html.'});
		return;
	}

	const span = report.parseSpan(query.get('window') ?? DEFAULT_WINDOW);
	if (span.isErr()) {
		answerProblem(response, 400, span.error);
		return;
	}

	const burn = await gatherBurn(context, sources, span.value);
	const body = await format.write(burn);
	response.writeHead(200, {
		'content-type': format.contentType,
		'content-length': buffer.Buffer.byteLength(body),
		'cache-control': 'no-store',
	});
	response.end(body);
}
