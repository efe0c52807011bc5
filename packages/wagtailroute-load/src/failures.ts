/**
The failures of a load run.
*/
import type * as core from 'wagtailroute-core';

/**
- `bad-mix`: the file isn't a mix of requests.
- `too-large`: the run is over its bounds.
- `no-addresses`: the directory gave no address to load.
*/
export type LoadFailureKind = 'bad-mix' | 'too-large' | 'no-addresses';

/**
A failure that ends a run before its first request.
*/
export type LoadFailure = core.Failure<LoadFailureKind>;
