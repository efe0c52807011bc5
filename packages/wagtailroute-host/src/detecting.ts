/**
Verdicts on upstreams: which take work, which are on trial, which this host avoids.
*/
import type * as core from 'wagtailroute-core';
import type * as proxy from 'wagtailroute-proxy';
import type * as utils from 'wagtailroute-utils';
import type {Announcing} from './announcing.ts';
import type {HostContext} from './context.ts';
import type {Verdicts} from './services.ts';

/**
Detection on a host.
*/
export type Detecting = Verdicts & {
	readonly guard: (service: core.ServiceName, fingerprint: string) => proxy.GuardAnswer | Promise<proxy.GuardAnswer>;
	readonly teardown: utils.Teardown;
};

/**
Starts the part.
*/
export function startDetecting(_context: HostContext, _announcing: Announcing): Detecting {
	const listeners = new Set<(service: core.ServiceName) => void>();
	return {
		getAdmission: () => 'in',
		isAvoided: () => false,
		getRampStart: () => undefined,
		record: () => undefined,
		registerChangeListener(listener) {
			listeners.add(listener);
			return () => {
				listeners.delete(listener);
			};
		},
		guard: () => ({kind: 'free'}),
		teardown: () => undefined,
	};
}
