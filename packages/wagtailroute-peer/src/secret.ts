/**
Keys from the fleet secret. Hosts with different secrets can neither open a connection to each other nor accept each
other's datagrams, so two fleets on one network never join.
*/
import * as buffer from 'node:buffer';
import * as crypto from 'node:crypto';
import type * as tls from 'node:tls';
import {
	KEY_BYTES,
	TAG_BYTES,
	TLS_CIPHER,
	TLS_VERSION,
} from './constants.ts';

const SALT = 'wagtailroute';

/**
What a fleet secret gives.
*/
export type FleetKeys = {
	readonly tls: buffer.Buffer;
	readonly datagram: buffer.Buffer;
};

/**
Derives the keys (HKDF, RFC 5869), one for each use.
*/
export function deriveKeys(secret: string): FleetKeys {
	return {
		tls: deriveKey(secret, 'tls'),
		datagram: deriveKey(secret, 'datagram'),
	};
}

function deriveKey(secret: string, purpose: string): buffer.Buffer {
	return buffer.Buffer.from(crypto.hkdfSync('sha256', secret, SALT, purpose, KEY_BYTES));
}

/**
Returns the authentication tag of a datagram's payload.
*/
export function createTag(key: buffer.Buffer, payload: Uint8Array): buffer.Buffer {
	return crypto.createHmac('sha256', key).update(payload).digest().subarray(0, TAG_BYTES);
}

/**
Says, in constant time, whether a tag belongs to the payload.
*/
export function isTagValid(key: buffer.Buffer, payload: Uint8Array, tag: Uint8Array): boolean {
	return tag.length === TAG_BYTES && crypto.timingSafeEqual(createTag(key, payload), tag);
}

const TLS_SETTINGS = {
	ciphers: TLS_CIPHER,
	minVersion: TLS_VERSION,
	maxVersion: TLS_VERSION,
} as const;

/**
Returns the settings of the server's side: any identity is taken, the key proves membership of the fleet.
*/
export function getServerTls(keys: FleetKeys): tls.TlsOptions {
	return {...TLS_SETTINGS, pskCallback: () => keys.tls};
}

/**
Returns the settings of the client's side. The key that both sides prove stands in for the certificate's name check.
*/
export function getClientTls(keys: FleetKeys, self: string): tls.ConnectionOptions {
	return {
		...TLS_SETTINGS,
		pskCallback: () => ({psk: keys.tls, identity: self}),
		checkServerIdentity: () => undefined,
	};
}
