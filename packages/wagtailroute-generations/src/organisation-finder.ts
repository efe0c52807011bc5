/**
Finds the organisation that holds a key.

Keys are looked up by their digests: a look-up costs the same for any number of keys, and its duration does not reveal how much of a
guessed key is right.
*/
import * as crypto from 'node:crypto';
import type {Generation, GenerationOrganisation} from './generation.ts';

/**
Returns the organisation that holds a key, undefined if none does.
*/
export type OrganisationFinder = (key: string) => GenerationOrganisation | undefined;

/**
Creates the finder for the organisations of a generation.
*/
export function createOrganisationFinder({organisations = []}: Pick<Generation, 'organisations'>): OrganisationFinder {
	const holders = new Map<string, GenerationOrganisation>();
	for (const organisation of organisations) {
		for (const key of organisation.keys) {
			holders.set(digest(key), organisation);
		}
	}

	return key => holders.get(digest(key));
}

function digest(key: string): string {
	return crypto.hash('sha256', key, 'base64url');
}
