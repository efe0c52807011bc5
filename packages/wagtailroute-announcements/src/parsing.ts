/**
Validation of the input from upstreams.
*/
import * as results from 'ts-results-es';
import * as core from 'wagtailroute-core';
import * as z from 'zod';
import {MAX_CONNECTIONS, MAX_NAME_LENGTH, MAX_SLOTS} from './constants.ts';
import type {AnnouncementFailure} from './failures.ts';
import type {Announcement} from './leases.ts';

const MAX_PORT = 65_535;

// Names appear in paths and logs: no spaces, slashes or control characters.
const NAME = z.string().min(1).max(MAX_NAME_LENGTH).regex(/^[\w\-.:@]+$/v);

const ANNOUNCEMENT = z.object({
	ip: z.union([z.ipv4(), z.ipv6()]),
	port: z.int().min(1).max(MAX_PORT),
	failureDomain: NAME,
	slots: z.int().min(1).max(MAX_SLOTS),
	connections: z.int().min(1).max(MAX_CONNECTIONS),
	state: z.enum(['serving', 'draining']),
}).refine(core.isConnectable, {path: ['ip'], error: 'must be the IP number of one host'});

/**
Validates the body of an announcement.
*/
export function parseAnnouncement(json: unknown): results.Result<Announcement, AnnouncementFailure> {
	return parse(ANNOUNCEMENT, json, 'announcement');
}

/**
Validates the name of an upstream.
*/
export function parseUpstreamId(id: unknown): results.Result<core.UpstreamId, AnnouncementFailure> {
	return parse(NAME, id, 'upstream name');
}

function parse<Value>(
	schema: z.ZodType<Value>,
	input: unknown,
	subject: string,
): results.Result<Value, AnnouncementFailure> {
	const parsed = schema.safeParse(input);
	if (parsed.success) {
		return results.Ok(parsed.data);
	}

	const issue = parsed.error.issues[0]!;
	const place = issue.path.length > 0 ? ` at ${issue.path.join('.')}` : '';
	return results.Err(core.createFailure('bad-announcement', `The ${subject} is refused${place}: ${issue.message}.`));
}
