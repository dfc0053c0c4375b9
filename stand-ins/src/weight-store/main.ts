import {parseArgs} from 'node:util';
import {printAddress} from '../common/serve.js';
import {createWeightStoreStandIn} from './weight-store.js';

const {values} = parseArgs({options: {port: {type: 'string', default: '0'}}});
printAddress(await createWeightStoreStandIn({port: Number(values.port)}));
