/**
Routes of the admin port for the catalogue: the entries in force on this host, changes, history.
*/
import type * as http from 'node:http';
import * as catalogue from 'wagtailroute-catalogue';
import * as core from 'wagtailroute-core';
import * as proxy from 'wagtailroute-proxy';
import type {AdminRequest, AdminRoute} from './admin-routes.ts';
import {readText} from './bodies.ts';
import {changeCatalogue, type ChangeRequest, fetchHistory} from './catalogue-changes.ts';
import {MAX_ADMIN_BODY_BYTES} from './constants.ts';
import type {HostContext} from './context.ts';
import {findInForce} from './in-force.ts';
import {answerProblem, answerUnknownEntry} from './problems.ts';

const ENTRY_FORMATS: ReadonlyMap<string, catalogue.EntryFormat> = new Map([
	['application/json', 'json'],
	['application/yaml', 'yaml'],
]);

const CHANGE_ID_PATTERN = /^[\u{21}-\u{7E}]{1,128}$/v;
const ETAG_PATTERN = /^"(?<revision>\d{1,15})"$/v;

/**
Creates the routes below `/catalogue`.
*/
export function createCatalogueRoutes(context: HostContext): readonly AdminRoute[] {
	return [
		{
			method: 'GET',
			pattern: /^\/catalogue$/v,
			handle({response}) {
				proxy.answerJson(response, 200, {entries: listEntries(context)});
			},
		},
		{
			method: 'GET',
			pattern: /^\/catalogue\/(?<name>[^\/]+)$/v,
			handle({response, name}) {
				answerEntry(context, response, name);
			},
		},
		{
			method: 'PUT',
			pattern: /^\/catalogue\/(?<name>[^\/]+)$/v,
			handle: async request => putEntry(context, request),
		},
		{
			method: 'DELETE',
			pattern: /^\/catalogue\/(?<name>[^\/]+)$/v,
			handle: async request => handleChange(context, request, undefined),
		},
		{
			method: 'GET',
			pattern: /^\/catalogue\/(?<name>[^\/]+)\/history$/v,
			async handle({response, name}) {
				proxy.answerJson(response, 200, {changes: await listChanges(context, name)});
			},
		},
		{
			method: 'GET',
			pattern: /^\/catalogue\/(?<name>[^\/]+)\/in-force$/v,
			handle: async ({response, name}) => answerInForce(context, response, name),
		},
	];
}

async function listChanges(context: HostContext, name: string) {
	const changes = await fetchHistory(context, name);
	return changes.map(item => ({...item, takenAt: new Date(item.takenAt).toISOString()}));
}

function listEntries(context: HostContext) {
	const entries = context.store.read(state => state.view.entries.values().toArray());
	return entries
		.map(({entry, revision}) => ({
			name: entry.name,
			revision,
			owner: entry.owner,
			entry,
		}))
		.toSorted((left, right) => left.name.localeCompare(right.name));
}

function answerEntry(context: HostContext, response: http.ServerResponse, name: string): void {
	const versioned = context.store.read(state => state.view.entries.get(name));
	if (versioned === undefined) {
		answerUnknownEntry(response, name);
		return;
	}

	proxy.answerJson(response, 200, versioned.entry, {etag: `"${versioned.revision}"`});
}

async function putEntry(context: HostContext, request: AdminRequest): Promise<void> {
	const {message, response, name} = request;
	const format = ENTRY_FORMATS.get((message.headers['content-type'] ?? '').split(';', 1)[0]!.trim().toLowerCase());
	if (format === undefined) {
		answerProblem(response, 415, core.createFailure('media-unknown', 'Content-Type must be application/json or application/yaml.'));
		return;
	}

	const text = await readText(message, MAX_ADMIN_BODY_BYTES);
	if (text.isErr()) {
		answerProblem(response, 413, text.error);
		return;
	}

	const entry = catalogue.parseEntryText(text.value, format);
	if (entry.isErr()) {
		answerProblem(response, 400, entry.error);
		return;
	}

	if (entry.value.name !== name) {
		answerProblem(response, 400, core.createFailure('name-mismatch', `The entry is named ${entry.value.name}, the path ${name}.`));
		return;
	}

	await handleChange(context, request, entry.value);
}

async function handleChange(context: HostContext, request: AdminRequest, entry: catalogue.Entry | undefined): Promise<void> {
	const {message, response, name} = request;
	const expected = parseExpectedRevision(message.headers);
	if (expected === undefined) {
		answerProblem(response, 428, core.createFailure('revision-missing', 'If-Match: "<revision>" or If-None-Match: * is required.'));
		return;
	}

	const changeId = String(message.headers['change-id'] ?? '');
	if (!CHANGE_ID_PATTERN.test(changeId)) {
		answerProblem(response, 400, core.createFailure('change-id-invalid', 'Change-Id must be 1 to 128 visible ASCII characters.'));
		return;
	}

	await answerChange(context, response, {
		name, entry, expected, changeId,
	});
}

function parseExpectedRevision(headers: http.IncomingHttpHeaders): catalogue.Revision | undefined {
	const match = headers['if-match'];
	if (match === undefined) {
		return headers['if-none-match'] === '*' ? 0 : undefined;
	}

	const groups = ETAG_PATTERN.exec(match)?.groups;
	return groups === undefined ? undefined : Number(groups.revision);
}

const CHANGE_STATUSES: Readonly<Record<catalogue.ChangeFailure['kind'], number>> = {
	'revision-conflict': 412,
	'entry-unknown': 404,
	'route-conflict': 409,
	'change-id-reused': 422,
	'catalogue-full': 507,
};

async function answerChange(context: HostContext, response: http.ServerResponse, request: ChangeRequest): Promise<void> {
	const changed = await changeCatalogue(context, request);
	if (changed.isErr()) {
		const outcome = changed.error.isPossiblyTaken ? 'unknown' : 'not-run';
		answerProblem(response, 503, changed.error, {outcome});
		return;
	}

	const result = catalogue.toResult(changed.value);
	if (result.isErr()) {
		const {kind, revision} = result.error;
		answerProblem(response, CHANGE_STATUSES[kind], result.error, {revision});
		return;
	}

	context.log('admin').info('Change accepted.', {name: request.name, revision: result.value, change: request.changeId});
	const status = request.expected === 0 ? 201 : 200;
	proxy.answerJson(response, status, {name: request.name, revision: result.value}, {
		etag: `"${result.value}"`,
		'wagtailroute-outcome': 'ran',
	});
}

async function answerInForce(context: HostContext, response: http.ServerResponse, name: string): Promise<void> {
	const versioned = context.store.read(state => state.view.entries.get(name));
	if (versioned === undefined) {
		answerUnknownEntry(response, name);
		return;
	}

	const {have, lack} = await findInForce(context, versioned.revision);
	proxy.answerJson(response, 200, {
		name, revision: versioned.revision, have, lack,
	});
}
