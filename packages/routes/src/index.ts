export {createDirectory, type Directory} from './directory.js';
export {promptBlocks} from './prompt-blocks.js';
export {createRouteTable, type RouteTableOptions} from './table.js';
export type * from './types.js';
export {searchRoute} from './search.js';
export type * from './search.js';
