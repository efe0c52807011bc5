/**
Paths that the fleet answers itself on the traffic port: the directory for callers, announcements of backend servers.
*/
import type * as http from 'node:http';
import * as announcements from 'wagtailroute-announcements';
import * as assignment from 'wagtailroute-assignment';
import * as core from 'wagtailroute-core';
import * as proxy from 'wagtailroute-proxy';
import type {Announcer, AnnouncerFailure} from './announcer.ts';
import {readText} from './bodies.ts';
import {MAX_ANNOUNCEMENT_BODY_BYTES} from './constants.ts';
import type {HostContext} from './context.ts';
import {answerProblem} from './problems.ts';

const ADDRESSES_PATH = '/.wagtailroute/addresses';
const UPSTREAM_PATTERN = /^\/\.wagtailroute\/services\/(?<service>[^\/]+)\/upstreams\/(?<id>[^\/]+)$/v;

/**
Creates the handler of the paths below `/.wagtailroute/`.
*/
export function createReservedPathHandler(
	context: HostContext,
	announcer: Announcer,
	hasPathFault: (host: core.HostId) => boolean,
): (message: http.IncomingMessage, response: http.ServerResponse, path: string) => Promise<void> {
	return async (message, response, path) => {
		if (path === ADDRESSES_PATH && message.method === 'GET') {
			answerAddresses(context, hasPathFault, message, response);
			return;
		}

		const groups = UPSTREAM_PATTERN.exec(path)?.groups;
		const handler = groups === undefined ? undefined : UPSTREAM_HANDLERS.get(message.method ?? '');
		if (groups === undefined || handler === undefined) {
			answerProblem(response, 404, core.createFailure('path-unknown', `There is no ${message.method} ${path}.`));
			return;
		}

		await handler(announcer, message, response, {service: groups.service!, id: decodeName(groups.id!)});
	};
}

function decodeName(text: string): string {
	try {
		return decodeURIComponent(text);
	} catch {
		return text;
	}
}

function answerAddresses(
	context: HostContext,
	hasPathFault: (host: core.HostId) => boolean,
	message: http.IncomingMessage,
	response: http.ServerResponse,
): void {
	const service = new URL(message.url!, 'http://host').searchParams.get('service') ?? '';
	const state = context.store.read(snapshot => snapshot);
	if (!state.view.entries.has(service)) {
		answerProblem(response, 404, core.createFailure('service-unknown', `There is no service ${service}.`));
		return;
	}

	const entryHosts = new Map(state.members.entries().filter(([, member]) => member.roles.includes('entry')));
	const answer = assignment.getAddresses({
		service,
		carriers: state.carriers.get(service) ?? [],
		members: entryHosts,
		random: context.random,
		isUnreachable: hasPathFault,
	});
	proxy.answerJson(response, 200, answer, {
		'cache-control': `max-age=${answer.ttlSeconds}`,
		'wagtailroute-outcome': 'ran',
	});
}

/**
Parses a body; returns undefined for text that is not JSON, which the schema of announcements refuses.
*/
function parseJson(text: string): unknown {
	try {
		return JSON.parse(text);
	} catch {
		return undefined;
	}
}

/**
Parameters of the path of an upstream.
*/
type UpstreamPath = {readonly service: core.ServiceName; readonly id: core.UpstreamId};

type UpstreamHandler = (
	announcer: Announcer,
	message: http.IncomingMessage,
	response: http.ServerResponse,
	name: UpstreamPath,
) => Promise<void>;

const UPSTREAM_HANDLERS: ReadonlyMap<string, UpstreamHandler> = new Map([
	['PUT', answerAnnouncement],
	['DELETE', answerWithdrawal],
]);

async function answerAnnouncement(
	announcer: Announcer,
	message: http.IncomingMessage,
	response: http.ServerResponse,
	name: UpstreamPath,
): Promise<void> {
	const text = await readText(message, MAX_ANNOUNCEMENT_BODY_BYTES);
	if (text.isErr()) {
		answerProblem(response, 413, text.error);
		return;
	}

	const id = announcements.parseUpstreamId(name.id);
	const announcement = announcements.parseAnnouncement(parseJson(text.value));
	const failure = id.isErr() ? id.error : undefined;
	if (failure !== undefined || announcement.isErr()) {
		answerProblem(response, 400, failure ?? announcement.unwrapErr());
		return;
	}

	const result = await announcer.submit({...name, announcement: announcement.unwrap(), isForwarded: false});
	if (result.isErr()) {
		answerProblem(response, FAILURE_STATUS_CODES[result.error.kind], result.error);
		return;
	}

	proxy.answerJson(response, 200, {
		leaseSeconds: announcements.LEASE_SECONDS,
		renewSeconds: announcements.RENEW_SECONDS,
	}, {'wagtailroute-outcome': 'ran'});
}

async function answerWithdrawal(
	announcer: Announcer,
	_message: http.IncomingMessage,
	response: http.ServerResponse,
	name: UpstreamPath,
): Promise<void> {
	const result = await announcer.submit({...name, isForwarded: false});
	if (result.isErr()) {
		answerProblem(response, FAILURE_STATUS_CODES[result.error.kind], result.error);
		return;
	}

	response.writeHead(204, {'wagtailroute-outcome': 'ran'}).end();
}

const FAILURE_STATUS_CODES: Readonly<Record<AnnouncerFailure['kind'], number>> = {
	'service-unknown': 404,
	'carriers-unreachable': 503,
	'bad-announcement': 400,
	'too-many-services': 507,
	'too-many-upstreams': 507,
	'recently-drained': 409,
};
