/**
Digests of requests: the digest that an idempotency key is bound to, and the fingerprint that crashes are attributed to.
*/
import * as crypto from 'node:crypto';

/**
Parts of a request that identify it: two requests with the same parts count as the same request.
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
Returns the digest to which an idempotency key is bound, in base64url. A key that is reused with another digest is a
mismatch.
*/
export function getRequestDigest({method, path, bodyDigest}: RequestIdentity): string {
	return getDigest([method.toUpperCase(), path, bodyDigest]);
}

/**
Returns the fingerprint to which crashes are attributed, in base64url: a digest of the service, method, path and
discriminator.
*/
export function getFingerprint({service, method, path, discriminator}: {
	readonly service: string;
	readonly method: string;
	readonly path: string;
	/**
	The idempotency key, or the digest of the body where the request has no key.
	*/
	readonly discriminator: string;
}): string {
	return getDigest([service, method.toUpperCase(), path, discriminator]);
}

// JSON separates the parts: with plain concatenation two different requests could have the same digest.
function getDigest(parts: readonly string[]): string {
	return crypto.createHash('sha256').update(JSON.stringify(parts)).digest('base64url');
}
