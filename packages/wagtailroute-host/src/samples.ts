/**
Sample catalogue of the development fleet: an archive that is read and changed, and a media service that accepts uploads.
*/

/**
Catalogue entries in the format of an operator's file.
*/
export const SAMPLE_ENTRIES = [
	{
		name: 'archive',
		owner: 'genealogy',
		routes: [
			{
				pathPrefix: '/archive/transfers', methods: ['POST'], class: 'non-idempotent', requireIdempotencyKey: true,
			},
			{pathPrefix: '/archive', class: 'read'},
		],
		limits: {concurrency: 200, timeoutMilliseconds: 10_000},
		healthyFloor: '70%',
		detection: 'careful',
		objective: {availability: 0.999, latencyMilliseconds: 300, windowDays: 28},
	},
	{
		name: 'media',
		owner: 'scanning',
		routes: [
			{
				pathPrefix: '/media/merges', methods: ['POST'], class: 'non-idempotent', requireIdempotencyKey: true,
			},
			{pathPrefix: '/media', class: 'idempotent'},
		],
		limits: {concurrency: 100, timeoutMilliseconds: 60_000, bodyBytes: 1_073_741_824},
		healthyFloor: '75%',
		detection: 'careful',
		objective: {availability: 0.995, latencyMilliseconds: 2000, windowDays: 28},
	},
] as const;
