/**
Digests of requests: what an idempotency key is bound to, and what a request that crashes upstreams is known by.
*/
import * as crypto from 'node:crypto';

/**
Parts of a request that make it the same request.
*/
export type RequestIdentity = {
	readonly method: string;
	/**
	Path with query, as sent by the caller.
	*/
	readonly path: string;
	/**
	Digest of the whole body; empty when there is none.
	*/
	readonly bodyDigest: string;
};

/**
Returns the digest to which an idempotency key is bound: a key sent again with another digest is a mismatch.
*/
export function getRequestDigest({method, path, bodyDigest}: RequestIdentity): string {
	return getDigest([method.toUpperCase(), path, bodyDigest]);
}

/**
Returns the fingerprint by which a request is tied to crashes: the service, method, path, and the key or body digest.
*/
export function getFingerprint({service, method, path, discriminator}: {
	readonly service: string;
	readonly method: string;
	readonly path: string;
	/**
	The idempotency key where there is one, else the digest of the body.
	*/
	readonly discriminator: string;
}): string {
	return getDigest([service, method.toUpperCase(), path, discriminator]);
}

// JSON keeps the parts apart: plain concatenation would let two different requests share a digest.
function getDigest(parts: readonly string[]): string {
	return crypto.createHash('sha256').update(JSON.stringify(parts)).digest('base64url');
}
