export {watchResponse, type ResponseEvents} from './watch-response.js';
