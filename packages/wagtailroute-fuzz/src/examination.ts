/**
The oracle: what must hold of a target after each batch of inputs.
*/
import * as crypto from 'node:crypto';
import {GOOD_ANSWER_BYTES, GOOD_SERVICE, TOKEN} from './constants.ts';
import {request} from './requests.ts';
import type {Sample, Target} from './target.ts';

/**
What an examination found. `faults` must be empty.
*/
export type Examination = {
	readonly faults: readonly string[];
	readonly sample?: Sample;
	/**
	Hosts that the target lists.
	*/
	readonly members: number;
};

/**
Examines a target: it lives, met no defect, answers a good request, a keyed one (which commits in the records) and a change
(which commits in the catalogue).
*/
export async function examine(target: Target): Promise<Examination> {
	const faults: string[] = [];
	const [read, keyed, changed, fleet] = await Promise.all([
		examineAnswer(target, 'GET', `/${GOOD_SERVICE}/${crypto.randomUUID()}`),
		examineAnswer(target, 'POST', `/${GOOD_SERVICE}/keyed/${crypto.randomUUID()}`),
		examineChange(target),
		request(target.place.admin, {path: '/fleet', headers: {authorization: `Bearer ${TOKEN}`}}),
	]);
	faults.push(...[read, keyed, changed].filter(fault => fault !== ''));
	let sample: Sample | undefined;
	try {
		sample = await target.sample();
		faults.push(...sample.defects.map(defect => `defect: ${defect}`));
	} catch (error) {
		faults.push(`the target has ended: ${String(error)}`);
	}

	return {faults, sample, members: countMembers(fleet.text)};
}

async function examineAnswer(target: Target, method: string, path: string): Promise<string> {
	const {status, text} = await request(target.place.traffic, {
		path, method, headers: method === 'POST' ? {'idempotency-key': crypto.randomUUID()} : {},
	});
	const isWhole = status === 200 && text.startsWith(`${path} `) && text.length === path.length + 1 + GOOD_ANSWER_BYTES;
	return isWhole ? '' : `${method} ${path} was answered ${status} with ${text.length} characters: ${text.slice(0, 300)}`;
}

/**
A change of an entry that isn't there is refused by the group itself, so it passes the log without making it larger.
*/
async function examineChange(target: Target): Promise<string> {
	const {status, text} = await request(target.place.admin, {
		path: '/catalogue/absent',
		method: 'DELETE',
		headers: {authorization: `Bearer ${TOKEN}`, 'change-id': crypto.randomUUID(), 'if-match': '"1"'},
	});
	return status === 404 ? '' : `DELETE of an absent entry was answered ${status}: ${text.slice(0, 300)}`;
}

function countMembers(text: string): number {
	try {
		return (JSON.parse(text) as {hosts: readonly unknown[]}).hosts.length;
	} catch {
		return 0;
	}
}
