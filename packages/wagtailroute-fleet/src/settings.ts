/**
Settings of the hosts of a fleet whose slots are dispatched.
*/
import type * as core from 'wagtailroute-core';
import type * as dispatch from 'wagtailroute-dispatch';

/**
A control host as others know it.
*/
export type ControlHost = {
	readonly id: core.HostId;
	/**
	Where it takes links.
	*/
	readonly address: core.Address;
	/**
	Absent for a seed that was not heard yet.
	*/
	readonly failureDomain?: core.FailureDomain;
};

/**
An entry host that dispatches while no control host does.
*/
export type StandbyHost = Required<ControlHost>;

/**
What every host is started with.
*/
export type FleetSettings = {
	readonly hostId: core.HostId;
	readonly failureDomain: core.FailureDomain;
	/**
	Control hosts to begin with. The same list on all hosts at the first start of a fleet.
	*/
	readonly seeds: readonly ControlHost[];
	readonly budget: dispatch.BudgetSettings;
	/**
	Part of a service's upstreams, 0 to 1, that stay in use whatever speaks against them.
	*/
	readonly floor: number;
	/**
	How organisations' use of their allotments is judged.
	*/
	readonly allotments: {
		/**
		Requests that may pass in a window beyond an allotment.
		*/
		readonly slack: number;
		readonly windowMilliseconds: number;
	};
	/**
	How dispatchers decide; the default policy when absent.
	*/
	readonly policy?: dispatch.Policy;
};

/**
What an entry host is started with.
*/
export type EntrySettings = FleetSettings & {
	readonly trafficAddress: core.Address;
	/**
	Where it takes links of other hosts, when it dispatches for them.
	*/
	readonly linkAddress: core.Address;
	/**
	What the host's link carries in each direction.
	*/
	readonly linkBytesPerSecond: number;
	/**
	Milliseconds from the signal to stop to the end.
	*/
	readonly stopMilliseconds: number;
};

/**
What a control host is started with.
*/
export type ControlSettings = FleetSettings & {
	readonly linkAddress: core.Address;
	readonly dataFolder: string;
	/**
	The whole fleet starts for the first time, with empty disks.
	*/
	readonly isFirstStart: boolean;
};
