/**
Differences of entries from those in force. Defaults are filled in on both sides, so that stating a default is no difference.
*/
import * as core from 'wagtailroute-core';
import type {Entry} from '../entry.ts';

/**
A difference of entries from those in force: `added`, `changed` or `absent`. Only `catalogue remove` removes entries.
*/
export type Difference = core.Difference;

/**
Lists the differences of an entry from the one in force.
*/
export function listDifferences(entry: Entry, inForce: Entry | undefined): readonly core.Difference[] {
	return inForce === undefined
		? [{change: 'added', entry: entry.name}]
		: core.listChangedFields(entry.name, inForce, entry);
}
