import {parseArgs} from 'node:util';
import {createServiceStandIn} from './service.js';

// Runs one service stand-in as its own process: `node main.js --port 7001`.
const {values} = parseArgs({options: {port: {type: 'string', default: '0'}}});
const service = await createServiceStandIn({port: Number(values.port)});
console.log(JSON.stringify({ready: true, address: service.address}));
process.once('SIGTERM', () => void service.close());
