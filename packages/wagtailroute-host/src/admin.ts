/**
HTTP server of the admin port: catalogue, fleet, upstreams and reports, the same on any host.
*/
import * as crypto from 'node:crypto';
import * as http from 'node:http';
import * as core from 'wagtailroute-core';
import * as proxy from 'wagtailroute-proxy';
import * as utils from 'wagtailroute-utils';
import type {AdminRequest, AdminRoute} from './admin-routes.ts';
import type {HostContext} from './context.ts';
import {answerProblem} from './problems.ts';

/**
Running admin server.
*/
export type AdminServer = {
	readonly close: () => Promise<void>;
};

const MAX_HEADER_BYTES = 16_384;
const REQUEST_TIMEOUT_MILLISECONDS = 30_000;

/**
Opens the server with its routes. `getFailures` returns the failures of this host's replicas by group, for `/healthz`.
*/
export async function openAdminServer(
	context: HostContext,
	routes: readonly AdminRoute[],
	getFailures: () => Readonly<Record<string, string>>,
): Promise<AdminServer> {
	const log = context.log('admin');
	const server = http.createServer({
		maxHeaderSize: MAX_HEADER_BYTES,
		requestTimeout: REQUEST_TIMEOUT_MILLISECONDS,
	}, (message, response) => {
		message.on('error', () => undefined);
		response.on('error', () => undefined);
		void handleRequest({context, routes, getFailures}, message, response).catch((error: unknown) => {
			log.error('A request on the admin port failed with an unexpected error.', {error: error instanceof Error ? error.stack : String(error)});
			response.destroy();
		});
	});
	await utils.listen(server, context.settings.adminAddress);
	return {
		close: async () => new Promise(resolve => {
			server.close(() => {
				resolve();
			});
			server.closeIdleConnections();
		}),
	};
}

type ServeOptions = {
	readonly context: HostContext;
	readonly routes: readonly AdminRoute[];
	readonly getFailures: () => Readonly<Record<string, string>>;
};

async function handleRequest(
	{context, routes, getFailures}: ServeOptions,
	message: http.IncomingMessage,
	response: http.ServerResponse,
): Promise<void> {
	const url = URL.parse(message.url ?? '/', 'http://host');
	if (url === null) {
		answerProblem(response, 400, core.createFailure('target-invalid', 'The target must be a path that begins with one slash.'));
		return;
	}

	if (url.pathname === '/healthz') {
		answerHealth(context, response, getFailures());
		return;
	}

	if (!isAuthorized(context, message.headers.authorization)) {
		answerProblem(response, 401, core.createFailure('token-wrong', 'The operator token is missing or wrong.'));
		return;
	}

	const {route, groups} = findRoute(routes, message.method ?? '', url.pathname);
	if (route === undefined) {
		answerProblem(response, 404, core.createFailure('path-unknown', `There is no ${message.method} ${url.pathname}.`));
		return;
	}

	const request: AdminRequest = {
		message,
		response,
		name: decodeName(groups.name ?? ''),
		query: url.searchParams,
	};
	await route.handle(request);
}

/**
Answers `/healthz`. A host whose replica failed still serves callers, so it is reported as degraded with status 200: operators
must see the failure, but a monitor must not restart the host for it.
*/
function answerHealth(
	context: HostContext,
	response: http.ServerResponse,
	failures: Readonly<Record<string, string>>,
): void {
	const {isDraining, view} = context.store.read(state => state);
	const health = Object.keys(failures).length === 0 ? 'ok' : 'degraded';
	proxy.answerJson(response, isDraining ? 503 : 200, {
		status: isDraining ? 'draining' : health,
		revision: view.revision,
		...health === 'degraded' && {failures},
	});
}

/**
Returns whether the operator token is right. Compares digests in constant time, so that the duration does not reveal the token.
*/
function isAuthorized(context: HostContext, authorization: string | undefined): boolean {
	const digest = (text: string) => crypto.createHash('sha256').update(text).digest();
	return crypto.timingSafeEqual(digest(authorization ?? ''), digest(`Bearer ${context.settings.operatorToken}`));
}

function findRoute(
	routes: readonly AdminRoute[],
	method: string,
	path: string,
): {route?: AdminRoute; groups: Readonly<Record<string, string>>} {
	for (const route of routes) {
		const match = route.method === method ? route.pattern.exec(path) : null;
		if (match !== null) {
			return {route, groups: match.groups ?? {}};
		}
	}

	return {groups: {}};
}

function decodeName(text: string): string {
	try {
		return decodeURIComponent(text);
	} catch {
		return text;
	}
}
