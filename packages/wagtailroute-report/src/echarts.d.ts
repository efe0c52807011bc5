/**
Types of the build of ECharts that is used: it has those of its core.
*/
declare module 'echarts/dist/echarts.common.min' {
	import type * as core from 'echarts/core';

	const echarts: typeof core;
	export default echarts;
}
